"""Runs of suspect requests that count as evidence."""

from collections.abc import Iterator
from typing import Final

from dykemast._internal.operations.broken_sends import SIMULTANEOUS_WINDOW_S
from dykemast._internal.operations.crash_evidence import is_cleared
from dykemast._internal.operations.crash_sequences import CrashedRun
from dykemast._internal.operations.crash_table import Crash, CrashTable

#: From this number of crashes on, a request is on trial: it is not retried, and
#: a router runs it once at a time. The next crash decides.
TRIAL_CRASHES: Final = 2


def list_runs(table: CrashTable) -> dict[str, list[CrashedRun]]:
    """List the runs that count as evidence.

    :param table: the crash table.
    :returns: runs by request.
    """
    runs: dict[str, list[CrashedRun]] = {}
    for server in table.crashes:
        for request, run in _list_runs_at(table, server):
            runs.setdefault(request, []).append(run)
    return runs


def list_suspects_at(table: CrashTable, server: str) -> list[str]:
    """List the suspects of a crash that have not been cleared since.

    :param table: the crash table.
    :param server: incarnation name of the server.
    :returns: digests of the requests.
    """
    crash = table.crashes[server]
    if crash.is_refuted():
        return []
    return [
        request
        for request in crash.sent_at
        if not is_cleared(table, request, crash)
    ]


def list_rivals(table: CrashTable, request: str) -> set[str]:
    """List the other requests on trial that the same crashes implicate.

    A crash with a quarantined suspect is explained by that suspect.

    :param table: the crash table.
    :param request: digest of the request.
    :returns: digests of the other requests.
    """
    rivals: set[str] = set()
    for run in table.crash_sequences.get(request, ()):
        suspects = list_suspects_at(table, run.server)
        if table.quarantines.keys().isdisjoint(suspects):
            rivals.update(suspects)
    rivals.discard(request)
    return {one for one in rivals if table.count_crashes(one) >= TRIAL_CRASHES}


def _list_runs_at(
    table: CrashTable, server: str
) -> Iterator[tuple[str, CrashedRun]]:
    crash = table.crashes[server]
    for request in list_suspects_at(table, server):
        if not _is_common_crash(table, request, crash):
            sent_at = crash.sent_at[request]
            yield request, CrashedRun(server, sent_at, crash.ended_at)


def _is_common_crash(table: CrashTable, request: str, crash: Crash) -> bool:
    """Check whether all servers of the service crashed together.

    In that case a request that many callers send was running on each of them,
    whatever the cause.
    """
    if not crash.others:
        return False
    simultaneous = sum(
        _crashed_together(crash, other)
        and not _was_sent_after_crash(request, crash, other)
        for other in table.crashes.values()
        if other is not crash
    )
    return simultaneous >= crash.others


def _crashed_together(crash: Crash, other: Crash) -> bool:
    if other.is_refuted() or other.service != crash.service:
        return False
    return abs(other.ended_at - crash.ended_at) <= SIMULTANEOUS_WINDOW_S


def _was_sent_after_crash(request: str, crash: Crash, other: Crash) -> bool:
    """Check whether a request was sent to one server after the other crashed.

    A request that ran on both servers may have crashed both.
    """
    first, last = sorted((crash, other), key=Crash.end_time)
    sent_at = last.sent_at.get(request)
    if sent_at is None or request not in first.sent_at:
        return False
    return sent_at > first.ended_at
