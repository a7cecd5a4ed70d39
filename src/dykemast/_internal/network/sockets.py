"""Client sockets that detect unreachable peers."""

import socket
from typing import Any, Final

#: Time that sent bytes may stay unacknowledged. Links acknowledge within
#: milliseconds, and lost packets are retransmitted within a second.
USER_TIMEOUT_MS: Final = 3000
#: TCP keep-alive: idle time before the first probe, time between probes, and
#: number of unanswered probes before the connection is closed.
PROBE_IDLE_S: Final = 1
PROBE_INTERVAL_S: Final = 1
PROBE_COUNT: Final = 2


_OPTIONS: Final = (
    (socket.TCP_KEEPIDLE, PROBE_IDLE_S),
    (socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
    (socket.TCP_KEEPCNT, PROBE_COUNT),
    (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    (socket.TCP_NODELAY, 1),
)


def make_socket(address: Any) -> socket.socket:
    """Create a non-blocking client socket.

    :param address: address information from ``getaddrinfo``.
    :returns: the socket, not yet connected.
    """
    made = socket.socket(*address[:3])
    made.setblocking(False)
    set_options(made)
    return made


def set_options(connection: Any) -> None:
    """Set the options by which a socket detects an unreachable peer.

    :param connection: the socket.
    """
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, setting in _OPTIONS:
        connection.setsockopt(socket.IPPROTO_TCP, option, setting)
