"""Expiry and size limits of the crash table."""

from collections.abc import Mapping
from typing import Final

from dykemast._internal.operations.crash_table import (
    CRASH_RETENTION_S,
    CrashTable,
)

#: Crashes kept: several times the servers of a large service.
MAX_CRASHES: Final = 256
#: Quarantined and cleared requests kept, each. To fill this table deliberately,
#: a caller has to crash three servers per quarantined request.
MAX_REQUESTS: Final = 1000


def prune_expired(table: CrashTable, now: float) -> None:
    """Remove what has expired or exceeds a size limit.

    :param table: the crash table.
    :param now: seconds on the monotonic clock.
    """
    limit = now - CRASH_RETENTION_S
    _prune_crashes(table, limit)
    _prune_quarantines(table, limit)
    for request in _find_expired(table.cleared, limit, MAX_REQUESTS):
        table.cleared.pop(request)


def _prune_crashes(table: CrashTable, limit: float) -> None:
    ended_at = {name: one.ended_at for name, one in table.crashes.items()}
    for server in _find_expired(ended_at, limit, MAX_CRASHES):
        table.crashes.pop(server)


def _prune_quarantines(table: CrashTable, limit: float) -> None:
    for cleared in _list_cleared(table):
        table.quarantines.pop(cleared)
    until = {name: one.until for name, one in table.quarantines.items()}
    for expired in _find_expired(until, limit, MAX_REQUESTS):
        table.quarantines.pop(expired)


def _list_cleared(table: CrashTable) -> list[str]:
    return [
        request
        for request, term in table.quarantines.items()
        if table.cleared.get(request, term.decided_at - 1) >= term.decided_at
    ]


def _find_expired(
    times: Mapping[str, float],
    limit: float,
    max_count: int,
) -> list[str]:
    """Find items older than a limit, and the oldest beyond a count."""
    newest = sorted(times, key=times.__getitem__, reverse=True)
    retained = [name for name in newest[:max_count] if times[name] >= limit]
    return newest[len(retained) :]
