"""Crash reports that routers exchange."""

import operator
from typing import Final

from dykemast._internal.models.crashes import (
    Clearance,
    CrashGossip,
    Quarantine,
)
from dykemast._internal.operations.crash_selection import (
    AGE_DECIMALS,
    select_crashes,
)
from dykemast._internal.operations.crash_evidence import record_crash
from dykemast._internal.operations.crash_table import CrashTable, QuarantineTerm

#: Cleared and quarantined requests in one message, each. The most recent ones
#: come first, and the store holds all quarantines.
MAX_REQUESTS: Final = 64
#: Reports of one run that arrive through different peers may differ by this
#: much.
SAME_RUN_TOLERANCE_S: Final = 1.0


def build_crash_gossip(table: CrashTable, now: float) -> CrashGossip:
    """Build the crash report for peers.

    :param table: the crash table.
    :param now: seconds on the monotonic clock.
    :returns: the report, bounded in size.
    """
    return CrashGossip(
        select_crashes(table, now),
        _list_clearances(table, now),
        _list_quarantines(table, now),
    )


def apply_crash_gossip(
    table: CrashTable, news: CrashGossip, now: float
) -> bool:
    """Merge a crash report from a peer.

    :param table: the crash table.
    :param message: the report.
    :param now: seconds on the monotonic clock.
    :returns: whether the report contained anything new.
    """
    changes = [record_crash(table, one, now) for one in news.crashes]
    changes += [_apply_clearance(table, one, now) for one in news.clearances]
    changes += [apply_quarantine(table, one, now) for one in news.quarantines]
    return any(changes)


def apply_quarantine(
    table: CrashTable, reported: Quarantine, now: float
) -> bool:
    """Merge a quarantine that another router decided.

    :param table: the crash table.
    :param reported: the quarantine.
    :param now: seconds on the monotonic clock.
    :returns: whether the quarantine was new.
    """
    decided_at = now - reported.age
    known = table.quarantines.get(reported.request)
    if known and known.terms >= reported.terms:
        return False
    if table.cleared.get(reported.request, decided_at - 1) >= decided_at:
        return False
    if table.was_sound(reported.request, decided_at):
        table.cleared[reported.request] = decided_at
        return False
    until = now + reported.seconds
    table.quarantines[reported.request] = QuarantineTerm(
        decided_at, until, reported.terms
    )
    return True


def _list_clearances(table: CrashTable, now: float) -> tuple[Clearance, ...]:
    newest = sorted(
        table.cleared.items(), key=operator.itemgetter(1), reverse=True
    )
    return tuple(
        Clearance(request, round(now - cleared_at, AGE_DECIMALS))
        for request, cleared_at in newest[:MAX_REQUESTS]
    )


def _apply_clearance(
    table: CrashTable, reported: Clearance, now: float
) -> bool:
    cleared_at = now - reported.age
    known = table.cleared.get(reported.request)
    if known is not None and known >= cleared_at - SAME_RUN_TOLERANCE_S:
        return False
    table.cleared[reported.request] = cleared_at
    return True


def _list_quarantines(table: CrashTable, now: float) -> tuple[Quarantine, ...]:
    newest = sorted(
        table.quarantines.items(),
        key=lambda pair: pair[1].decided_at,
        reverse=True,
    )
    return tuple(
        Quarantine(
            request,
            round(now - term.decided_at, AGE_DECIMALS),
            round(max(0, term.until - now), AGE_DECIMALS),
            term.terms,
        )
        for request, term in newest[:MAX_REQUESTS]
    )
