"""Idle connections of the HTTP client's pools."""

from aiohttp import connector

from dykemast._internal.utils.clock import read_clock


def set_pool_clock() -> None:
    """Have pools reckon by this program's clock how long connections rest.

    The library's own does not count the time asleep: servers have closed by
    then what it still uses, and a request that is sent there may have run.
    """
    connector.monotonic = read_clock
