"""Review which requests are not sent to servers any more."""

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

#: Ends of servers, one after another, for which a request is quarantined: users
#: bear three before all routers have to know it.
QUARANTINE_CRASHES: Final = 3
#: Those among them that no other request may explain as well. With fewer, who
#: was with such a request each time would be quarantined too; with all three,
#: two such requests that met once would both go on.
UNEXPLAINED_CRASHES: Final = 2
#: Seconds after an end before it decides: what else ended at that moment is
#: known by then, and a run that was under way elsewhere has begun well. Users
#: give 3 s; until then the request is held back.
DECISION_DELAY_S: Final = 1.5
#: Seconds for which a quarantine holds at first, as ends count; each next one
#: holds twice as long.
QUARANTINE_S: Final = CRASH_RETENTION_S
MAX_DOUBLINGS: Final = 6


def review_suspects(table: CrashTable, now: float) -> list[str]:
    """Review all after something was taken note of, or time has passed.

    :param table: what is known.
    :param now: seconds.
    :returns: requests that are in quarantine from now on.
    """
    prune_expired(table, now)
    runs = list_runs(table)
    table.crash_sequences = {
        request: find_crash_sequence(ended) for request, ended in runs.items()
    }
    crashing = [
        request
        for request in table.crash_sequences
        if _is_crashing(table, request) and _is_settled(table, request, now)
    ]
    for request in crashing:
        _quarantine(table, request, now)
    return crashing


def compute_decision_delay(
    table: CrashTable, request: str, now: float
) -> float:
    """Measure until when it is decided whether a request ends servers.

    :param table: what is known.
    :param request: its digest.
    :param now: seconds.
    :returns: seconds; 0 when nothing is to be decided.
    """
    if request not in table.crash_sequences or not _is_crashing(table, request):
        return 0
    return max(0, _find_decisive(table, request) + DECISION_DELAY_S - now)


def compute_quarantine_time(terms: int) -> float:
    """Measure for how long a quarantine holds.

    :param terms: how often it was decided.
    :returns: seconds.
    """
    return QUARANTINE_S * 2 ** min(MAX_DOUBLINGS, terms - 1)


def _is_settled(table: CrashTable, request: str, now: float) -> bool:
    return now >= _find_decisive(table, request) + DECISION_DELAY_S


def _find_decisive(table: CrashTable, request: str) -> float:
    """Find when the end came for which a request is quarantined.

    Ends after it put nothing off: routers that have not heard may go on.
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
        # It was given another chance, and ended the server that took it.
        return sequence[-1].ended_at > term.until
    if len(sequence) < QUARANTINE_CRASHES:
        return False
    present = {
        run.server: list_suspects_at(table, run.server) for run in sequence
    }
    unexplained = count_unexplained(request, table.crash_sequences, present)
    return unexplained >= UNEXPLAINED_CRASHES


def _quarantine(table: CrashTable, request: str, now: float) -> None:
    term = table.quarantines.get(request)
    terms = term.terms + 1 if term else 1
    until = now + compute_quarantine_time(terms)
    table.quarantines[request] = QuarantineTerm(now, until, terms)
