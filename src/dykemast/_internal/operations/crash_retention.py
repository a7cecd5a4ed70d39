"""Forget what is too old to count, and what is too much to keep."""

from collections.abc import Mapping
from typing import Final

from dykemast._internal.operations.crash_table import (
    CRASH_RETENTION_S,
    CrashTable,
)

#: Ends that are kept: some times the servers of a large service.
MAX_CRASHES: Final = 256
#: Requests that are kept, in quarantine or cleared: whoever fills this on
#: purpose has to end three servers for each that is in quarantine.
MAX_REQUESTS: Final = 1000


def prune_expired(table: CrashTable, now: float) -> None:
    """Forget what does not count any more.

    :param table: what is known.
    :param now: seconds.
    """
    limit = now - CRASH_RETENTION_S
    _forget_crashes(table, limit)
    _forget_quarantines(table, limit)
    for request in _find_old(table.cleared, limit, MAX_REQUESTS):
        table.cleared.pop(request)


def _forget_crashes(table: CrashTable, limit: float) -> None:
    ended_at = {name: one.ended_at for name, one in table.crashes.items()}
    for server in _find_old(ended_at, limit, MAX_CRASHES):
        table.crashes.pop(server)


def _forget_quarantines(table: CrashTable, limit: float) -> None:
    for cleared in _list_cleared(table):
        table.quarantines.pop(cleared)
    until = {name: one.until for name, one in table.quarantines.items()}
    for over in _find_old(until, limit, MAX_REQUESTS):
        table.quarantines.pop(over)


def _list_cleared(table: CrashTable) -> list[str]:
    return [
        request
        for request, term in table.quarantines.items()
        if table.cleared.get(request, term.decided_at - 1) >= term.decided_at
    ]


def _find_old(
    times: Mapping[str, float],
    limit: float,
    most: int,
) -> list[str]:
    """Find what is older than a limit, and the oldest beyond a number."""
    newest = sorted(times, key=times.__getitem__, reverse=True)
    kept = [name for name in newest[:most] if times[name] >= limit]
    return newest[len(kept) :]
