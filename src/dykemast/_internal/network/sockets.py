"""Sockets that notice when the other side is cut off."""

import socket
from typing import Any, Final

#: Milliseconds that sent bytes may stay unconfirmed. Users' links confirm in
#: some milliseconds, and lost packets are repeated within a second.
USER_TIMEOUT_MS: Final = 3000
#: Seconds of silence before a probe, between probes, and probes in vain.
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
    """Make a socket to connect with.

    :param address: as ``getaddrinfo`` gives it.
    :returns: the socket, not yet connected.
    """
    made = socket.socket(*address[:3])
    made.setblocking(False)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, setting in _OPTIONS:
        made.setsockopt(socket.IPPROTO_TCP, option, setting)
    return made
