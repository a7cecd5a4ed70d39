"""What routers tell each other of requests that end servers."""

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

#: Requests that are told of at once, of those that are cleared and of those in
#: quarantine; the newest come first, and the store keeps all of the latter.
MAX_REQUESTS: Final = 64
#: Seconds by which word of the same run may differ that came over others.
SAME_RUN_TOLERANCE_S: Final = 1.0


def build_crash_gossip(table: CrashTable, now: float) -> CrashGossip:
    """Tell others what is known.

    :param table: what is known.
    :param now: seconds.
    :returns: the news, bounded.
    """
    return CrashGossip(
        select_crashes(table, now),
        _tell_clearances(table, now),
        _tell_quarantines(table, now),
    )


def apply_crash_gossip(
    table: CrashTable, news: CrashGossip, now: float
) -> bool:
    """Take what a peer tells.

    :param table: what is known.
    :param news: the news.
    :param now: seconds.
    :returns: whether any of it was new.
    """
    changes = [record_crash(table, one, now) for one in news.crashes]
    changes += [_take_clearance(table, one, now) for one in news.clearances]
    changes += [apply_quarantine(table, one, now) for one in news.quarantines]
    return any(changes)


def apply_quarantine(table: CrashTable, told: Quarantine, now: float) -> bool:
    """Take a quarantine that another router decided.

    :param table: what is known.
    :param told: the quarantine.
    :param now: seconds.
    :returns: whether it is new.
    """
    decided_at = now - told.age
    known = table.quarantines.get(told.request)
    if known and known.terms >= told.terms:
        return False
    if table.cleared.get(told.request, decided_at - 1) >= decided_at:
        return False
    until = now + told.seconds
    table.quarantines[told.request] = QuarantineTerm(
        decided_at, until, told.terms
    )
    return True


def _tell_clearances(table: CrashTable, now: float) -> tuple[Clearance, ...]:
    newest = sorted(
        table.cleared.items(), key=operator.itemgetter(1), reverse=True
    )
    return tuple(
        Clearance(request, round(now - cleared_at, AGE_DECIMALS))
        for request, cleared_at in newest[:MAX_REQUESTS]
    )


def _take_clearance(table: CrashTable, told: Clearance, now: float) -> bool:
    cleared_at = now - told.age
    known = table.cleared.get(told.request)
    if known is not None and known >= cleared_at - SAME_RUN_TOLERANCE_S:
        return False
    table.cleared[told.request] = cleared_at
    return True


def _tell_quarantines(table: CrashTable, now: float) -> tuple[Quarantine, ...]:
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
