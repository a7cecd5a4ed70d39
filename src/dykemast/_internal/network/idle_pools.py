"""Clock for idle connections in the HTTP client's pools."""

from aiohttp import connector

from dykemast._internal.utils.clock import read_clock


def set_pool_clock() -> None:
    """Make connection pools measure idle time by this program's clock.

    The library's clock stops while the machine is suspended. Pools would
    then reuse connections that servers have closed, and it is unknown whether
    a request sent over one of them has run.
    """
    connector.monotonic = read_clock
