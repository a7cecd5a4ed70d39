"""Runs of requests under which servers ended, as far as they tell anything."""

from collections.abc import Iterator
from typing import Final

from dykemast._internal.operations.broken_sends import SIMULTANEOUS_WINDOW_S
from dykemast._internal.operations.crash_sequences import CrashedRun
from dykemast._internal.operations.crash_table import Crash, CrashTable

#: Ends of servers from which on a request runs alone: it is not repeated, and
#: a router has one of it in progress. The next end decides.
TRIAL_CRASHES: Final = 2


def list_runs(table: CrashTable) -> dict[str, list[CrashedRun]]:
    """List the runs that tell something.

    :param table: what is known.
    :returns: runs by request.
    """
    runs: dict[str, list[CrashedRun]] = {}
    for server in table.crashes:
        for request, run in _list_runs_at(table, server):
            runs.setdefault(request, []).append(run)
    return runs


def list_suspects_at(table: CrashTable, server: str) -> list[str]:
    """List who may have ended a server and has not run well since.

    :param table: what is known.
    :param server: name of its start.
    :returns: requests.
    """
    crash = table.crashes[server]
    if crash.refuted:
        return []
    cleared = table.cleared
    return [
        request
        for request in crash.sent_at
        if cleared.get(request, crash.ended_at - 1) < crash.ended_at
    ]


def list_rivals(table: CrashTable, request: str) -> set[str]:
    """List the requests on trial that its ends do not tell from a request.

    What is in quarantine explains the ends that it was at.

    :param table: what is known.
    :param request: its digest.
    :returns: other requests.
    """
    rivals: set[str] = set()
    for run in table.crash_sequences.get(request, ()):
        present = list_suspects_at(table, run.server)
        if table.quarantines.keys().isdisjoint(present):
            rivals.update(present)
    rivals.discard(request)
    return {one for one in rivals if table.count_crashes(one) >= TRIAL_CRASHES}


def _list_runs_at(
    table: CrashTable, server: str
) -> Iterator[tuple[str, CrashedRun]]:
    crash = table.crashes[server]
    for request in list_suspects_at(table, server):
        if not _is_common(table, request, crash):
            sent_at = crash.sent_at[request]
            yield request, CrashedRun(server, sent_at, crash.ended_at)


def _is_common(table: CrashTable, request: str, crash: Crash) -> bool:
    """Tell whether all servers of the service ended at one moment.

    Whatever did that, everybody's question was under way at each of them.
    """
    if not crash.others:
        return False
    at_once = sum(
        _ended_with(crash, other) and not _is_after(request, crash, other)
        for other in table.crashes.values()
        if other is not crash
    )
    return at_once >= crash.others


def _ended_with(crash: Crash, other: Crash) -> bool:
    if other.refuted or other.service != crash.service:
        return False
    return abs(other.ended_at - crash.ended_at) <= SIMULTANEOUS_WINDOW_S


def _is_after(request: str, crash: Crash, other: Crash) -> bool:
    """Tell whether a request was sent to one server when the other had ended.

    If it was at both, it may well have ended both.
    """
    first, last = sorted((crash, other), key=Crash.read_end)
    sent_at = last.sent_at.get(request)
    if sent_at is None or request not in first.sent_at:
        return False
    return sent_at > first.ended_at
