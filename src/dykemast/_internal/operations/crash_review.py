"""Review which requests are not sent to servers any more."""

from typing import Final

from dykemast._internal.operations.crash_chains import (
    count_unexplained,
    find_chain,
)
from dykemast._internal.operations.crash_retention import forget_old
from dykemast._internal.operations.crash_runs import list_present, list_runs
from dykemast._internal.operations.crash_table import (
    KEEP_TIME,
    CrashTable,
    QuarantineTerm,
)

#: Ends of servers, one after another, for which a request is quarantined: users
#: bear three before all routers have to know it.
QUARANTINE_ENDS: Final = 3
#: Those among them that no other request may explain as well. With fewer, who
#: was with such a request each time would be quarantined too; with all three,
#: two such requests that met once would both go on.
UNEXPLAINED_ENDS: Final = 2
#: Seconds after an end before it decides: what else ended at that moment is
#: known by then, and a run that was under way elsewhere has begun well. Users
#: give 3 s; until then the request is held back.
SETTLE_TIME: Final = 1.5
#: Seconds for which a quarantine holds at first, as ends count; each next one
#: holds twice as long.
QUARANTINE_TIME: Final = KEEP_TIME
MAX_DOUBLINGS: Final = 6


def review(table: CrashTable, now: float) -> list[str]:
    """Review all after something was taken note of, or time has passed.

    :param table: what is known.
    :param now: seconds.
    :returns: requests that are in quarantine from now on.
    """
    forget_old(table, now)
    runs = list_runs(table)
    table.chains = {
        request: find_chain(ended) for request, ended in runs.items()
    }
    crashing = [
        request
        for request in table.chains
        if _is_crashing(table, request) and _is_settled(table, request, now)
    ]
    for request in crashing:
        _quarantine(table, request, now)
    return crashing


def measure_settling(table: CrashTable, request: str, now: float) -> float:
    """Measure until when it is decided whether a request ends servers.

    :param table: what is known.
    :param request: its digest.
    :param now: seconds.
    :returns: seconds; 0 when nothing is to be decided.
    """
    if request not in table.chains or not _is_crashing(table, request):
        return 0
    return max(0, _find_decisive(table, request) + SETTLE_TIME - now)


def measure_term(terms: int) -> float:
    """Measure for how long a quarantine holds.

    :param terms: how often it was decided.
    :returns: seconds.
    """
    return QUARANTINE_TIME * 2 ** min(MAX_DOUBLINGS, terms - 1)


def _is_settled(table: CrashTable, request: str, now: float) -> bool:
    return now >= _find_decisive(table, request) + SETTLE_TIME


def _find_decisive(table: CrashTable, request: str) -> float:
    """Find when the end came for which a request is quarantined.

    Ends after it put nothing off: routers that have not heard may go on.
    """
    ended_at = [run.ended_at for run in table.chains[request]]
    term = table.quarantines.get(request)
    if term:
        return min(one for one in ended_at if one > term.until)
    return ended_at[QUARANTINE_ENDS - 1]


def _is_crashing(table: CrashTable, request: str) -> bool:
    chain = table.chains[request]
    term = table.quarantines.get(request)
    if term:
        # It was given another chance, and ended the server that took it.
        return chain[-1].ended_at > term.until
    if len(chain) < QUARANTINE_ENDS:
        return False
    present = {run.server: list_present(table, run.server) for run in chain}
    unexplained = count_unexplained(request, table.chains, present)
    return unexplained >= UNEXPLAINED_ENDS


def _quarantine(table: CrashTable, request: str, now: float) -> None:
    term = table.quarantines.get(request)
    terms = term.terms + 1 if term else 1
    until = now + measure_term(terms)
    table.quarantines[request] = QuarantineTerm(now, until, terms)
