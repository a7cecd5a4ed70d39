"""Free ports and networks on loopback."""

import functools
import itertools
import os
import random
import socket
from collections.abc import Iterator
from typing import Final

_networks: Final = itertools.count(1)
#: Processes that use networks of their own at a time.
_PROCESSES: Final = 200
_FIRST_NETWORK: Final = 10
#: Bound by whoever uses the networks of a number.
_CLAIM_PORT: Final = 11_999
_FIRST_PORT: Final = 12_000
_END_PORT: Final = 32_000
#: Ports below those that Linux gives away by itself, which begin at 32,768.
PORTS: Final = range(_FIRST_PORT, _END_PORT)


def choose_network() -> str:
    """Choose a network on loopback that nothing else here uses.

    :returns: the first three parts of its IP numbers.
    """
    return f'127.{_claim_number()}.{next(_networks)}'


@functools.cache
def _claim_number() -> int:
    """Claim a number for the networks of this process, until it ends.

    :returns: the second part of their IP numbers.
    :raises OSError: if all are claimed.
    """
    for offset in range(_PROCESSES):
        number = _FIRST_NETWORK + (os.getpid() + offset) % _PROCESSES
        claim = socket.socket(type=socket.SOCK_DGRAM)
        try:
            claim.bind((f'127.{number}.0.1', _CLAIM_PORT))
        except OSError:
            claim.close()
        else:
            _reserved.append(claim)
            return number
    raise OSError(f'{_PROCESSES} processes have networks of their own.')


def find_ports(count: int) -> list[int]:
    """Find ports that nothing listens on.

    Programs listen on them only later. Until this process ends nobody else
    that looks here, in this process or another, is given the same ones, nor
    are they those that the system gives to whoever asks for any port.

    :param count: how many.
    :returns: different ports.
    """
    return list(itertools.islice(_free_ports, count))


def _list_free_ports() -> Iterator[int]:
    ports = random.SystemRandom().sample(PORTS, len(PORTS))
    return filter(_reserve, ports)


def _reserve(port: int) -> bool:
    """Keep a port bound, not listened on, unless somebody uses it.

    Who may reuse addresses can listen on it nevertheless; all programs here
    do, and the next that reserves does not.
    """
    reserved = socket.socket()
    try:
        reserved.bind(('127.0.0.1', port))
    except OSError:
        reserved.close()
        return False
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    _reserved.append(reserved)
    return True


_reserved: Final[list[socket.socket]] = []
_free_ports: Final = _list_free_ports()
