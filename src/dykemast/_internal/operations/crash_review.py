"""Decisions which requests are quarantined."""

from typing import Final

from dykemast._internal.operations.crash_sequences import (
    count_unexplained,
    find_crash_sequence,
)
from dykemast._internal.operations.crash_retention import prune_expired
from dykemast._internal.operations.crash_runs import list_suspects_at, list_runs
from dykemast._internal.operations.crash_table import (
    CRASH_RETENTION_S,
    CrashTable,
    QuarantineTerm,
)

#: Crashes in sequence after which a request is quarantined. The users accept
#: three before all routers must know the request.
QUARANTINE_CRASHES: Final = 3
#: Of these crashes, those that no other request may explain. With fewer, a
#: request that ran beside a crashing one each time would be quarantined too;
#: with all three, two crashing requests that share a server would both go on.
UNEXPLAINED_CRASHES: Final = 2
#: Delay from a crash until it decides. By then, other crashes of the same
#: moment are known, and runs on other servers have streamed events long enough
#: to clear their request. The users allow 3 s; the request is held back
#: meanwhile.
DECISION_DELAY_S: Final = 1.5
#: Duration of the first quarantine, equal to the retention of crashes. Each
#: further one lasts twice as long.
QUARANTINE_S: Final = CRASH_RETENTION_S
MAX_DOUBLINGS: Final = 6


def review_suspects(table: CrashTable, now: float) -> list[str]:
    """Update crash sequences and quarantines.

    :param table: the crash table.
    :param now: seconds on the monotonic clock.
    :returns: digests of the requests that are newly quarantined.
    """
    prune_expired(table, now)
    runs = list_runs(table)
    table.crash_sequences = {
        request: find_crash_sequence(ended) for request, ended in runs.items()
    }
    crashing = [
        request
        for request in table.crash_sequences
        if _is_crashing(table, request)
        and _is_decision_due(table, request, now)
    ]
    for request in crashing:
        _quarantine(table, request, now)
    return crashing


def compute_decision_delay(
    table: CrashTable, request: str, now: float
) -> float:
    """Compute the time until a pending quarantine decision.

    :param table: the crash table.
    :param request: digest of the request.
    :param now: seconds on the monotonic clock.
    :returns: seconds; 0 if no decision is pending.
    """
    if request not in table.crash_sequences or not _is_crashing(table, request):
        return 0
    return max(0, _find_decisive_time(table, request) + DECISION_DELAY_S - now)


def compute_quarantine_time(terms: int) -> float:
    """Compute the duration of a quarantine.

    :param terms: number of times the request has been quarantined.
    :returns: seconds.
    """
    return QUARANTINE_S * 2 ** min(MAX_DOUBLINGS, terms - 1)


def _is_decision_due(table: CrashTable, request: str, now: float) -> bool:
    return now >= _find_decisive_time(table, request) + DECISION_DELAY_S


def _find_decisive_time(table: CrashTable, request: str) -> float:
    """Find the time of the crash that leads to the quarantine.

    Later crashes do not postpone the decision, since routers that have not been
    notified yet may continue to send the request.
    """
    ended_at = [run.ended_at for run in table.crash_sequences[request]]
    term = table.quarantines.get(request)
    if term:
        return min(one for one in ended_at if one > term.until)
    return ended_at[QUARANTINE_CRASHES - 1]


def _is_crashing(table: CrashTable, request: str) -> bool:
    sequence = table.crash_sequences[request]
    term = table.quarantines.get(request)
    if term:
        # The request was tried again and crashed the server.
        return sequence[-1].ended_at > term.until
    if len(sequence) < QUARANTINE_CRASHES:
        return False
    suspects_by_server = {
        run.server: list_suspects_at(table, run.server) for run in sequence
    }
    unexplained = count_unexplained(
        request, table.crash_sequences, suspects_by_server
    )
    return unexplained >= UNEXPLAINED_CRASHES


def _quarantine(table: CrashTable, request: str, now: float) -> None:
    term = table.quarantines.get(request)
    terms = term.terms + 1 if term else 1
    until = now + compute_quarantine_time(terms)
    table.quarantines[request] = QuarantineTerm(now, until, terms)
