"""Free ports on loopback."""

import socket


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
