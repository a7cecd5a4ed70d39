"""Free ports and networks on loopback."""

import itertools
import os
import socket
from typing import Final

_networks: Final = itertools.count(1)
#: Processes that use networks of their own at a time.
_PROCESSES: Final = 200
_FIRST_NETWORK: Final = 10


def choose_network() -> str:
    """Choose a network on loopback that nothing else here uses.

    :returns: the first three parts of its IP numbers.
    """
    process = _FIRST_NETWORK + os.getpid() % _PROCESSES
    return f'127.{process}.{next(_networks)}'


def find_ports(count: int) -> list[int]:
    """Find ports that nothing listens on.

    :param count: how many.
    :returns: different ports.
    """
    sockets = [socket.socket() for _ in range(count)]
    for opened in sockets:
        opened.bind(('127.0.0.1', 0))
    ports = [bound.getsockname()[1] for bound in sockets]
    for closed in sockets:
        closed.close()
    return ports
