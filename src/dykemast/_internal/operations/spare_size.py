"""How many tokens of a budget a router keeps spare."""

from typing import Final

from dykemast._internal.models.budget_ledger import BudgetLedger
from dykemast._internal.operations.allowance_terms import Identity

#: Part of the unused tokens that all routers together may keep spare. What
#: is spare serves requests in a cut, and is lost when its router dies; this
#: figure and those below are from trials under faults that have both
#: (docs/design/machines.md).
SPARE_SHARE: Final = 0.5
#: Part of a budget that may be lost in all as spare of routers that died. What
#: is kept spare shrinks as that is used up. By these rules alone, without the
#: bound, four deaths of three routers stranded 98 of 100 tokens that nobody
#: consumed; under load one death of all strands about a fifth.
LOSS_SHARE: Final = 0.3
#: Seconds of demand to keep spare at most, for cuts in which every router is
#: alone; they last 7.6 to 8.8 s where users have seen them. Of 100 requests in
#: two such cuts 8 were refused and 68 in time; 10 and 63 with 4 s and a demand
#: that was known later (three runs). 14 s showed no further gain.
SPARE_TIME: Final = 9.0
#: Tokens to keep spare beyond that: a request of the larger kind.
SPARE_FLOOR: Final = 8000
#: Part of the mean demand that counts for each router, so that one without
#: requests so far gets something too.
DEMAND_FLOOR: Final = 0.1
#: Tokens a second that count for each router at least.
MIN_DEMAND: Final = 100


def measure_spare(
    ledger: BudgetLedger,
    identity: Identity,
    routers: int,
) -> int:
    """Measure how many tokens one router may keep spare.

    Spare tokens go where requests come: those of a workspace often meet one
    router only.

    :param ledger: the budget, with a row of the router.
    :param identity: the router.
    :param routers: routers that share the budget.
    :returns: tokens.
    """
    demand = ledger.rows[identity.incarnation].demand
    wanted = SPARE_FLOOR + SPARE_TIME * demand
    share = _measure_share(ledger, demand, routers)
    most = min(_measure_share_of_unused(ledger), _measure_risk(ledger))
    return int(min(wanted, share * most))


def _measure_share_of_unused(ledger: BudgetLedger) -> float:
    """Measure how many unused tokens all routers together may keep spare."""
    unused = ledger.count_unused()
    # Falls faster than what is unused: towards its end, what a death strands
    # is what a budget still has. In runs that end with a loss of power of all
    # worth rose by 0.07 and 0.10 (two seeds) and 0.01 to 0.03 (three), and on
    # runs with cuts it fell by 0.03 and 0.06 at one of two sites.
    left = unused / max(1, ledger.prepaid)
    return SPARE_SHARE * left * unused


def _measure_risk(ledger: BudgetLedger) -> float:
    """Measure how many tokens may still be lost to deaths."""
    return max(0, LOSS_SHARE * ledger.prepaid - ledger.closed_spare)


def _measure_share(
    ledger: BudgetLedger,
    demand: float,
    routers: int,
) -> float:
    """Measure a router's part of the demand, from 0 to 1."""
    total = sum(row.demand for row in ledger.rows.values())
    floor = MIN_DEMAND + DEMAND_FLOOR * total / max(1, routers)
    sharing = max(routers, len(ledger.rows))
    return (demand + floor) / (total + floor * sharing)
