"""How many tokens of a budget a router keeps spare."""

from typing import Final

from dykemast._internal.models.budget_ledger import BudgetLedger
from dykemast._internal.operations.allowance_terms import Identity

#: Part of the unused tokens that all routers together may keep spare. What
#: is spare serves requests in a cut, and is lost when its router dies.
SPARE_SHARE: Final = 0.35
#: Part of a budget that may be lost in all as spare of routers that died. What
#: is kept spare shrinks as that is used up: deaths in series would else strand
#: nearly all that nobody has consumed.
LOSS_SHARE: Final = 0.2
#: Seconds of demand to keep spare at most, for cuts in which every router is
#: alone: about as long as one lasts.
SPARE_TIME: Final = 9.0
#: Tokens to keep spare beyond that: a request of the larger kind.
SPARE_FLOOR: Final = 8000
#: Part of the mean demand that counts for each router, so that one without
#: requests so far gets something too.
DEMAND_FLOOR: Final = 0.1
#: Tokens a second that count for each router at least.
MIN_DEMAND: Final = 100


def compute_spare(
    ledger: BudgetLedger,
    identity: Identity,
    routers: int,
) -> int:
    """Measure how many tokens one router may keep spare.

    Spare tokens go where requests come: those of a workspace often meet one
    router only. Those of all rows together never exceed what deaths may cost
    the budget.

    :param ledger: the budget, with a row of the router.
    :param identity: the router.
    :param routers: routers that share the budget.
    :returns: tokens.
    """
    row = ledger.rows[identity.incarnation]
    wanted = SPARE_FLOOR + SPARE_TIME * row.demand
    share = _measure_share(ledger, row.demand, routers)
    most = measure_most(ledger)
    # Shares are reckoned one after the other, as demand goes up and down, so
    # that they may add up to more than the whole.
    free = most - ledger.count_spare() + row.count_spare()
    return max(0, int(min(wanted, share * most, free)))


def measure_most(ledger: BudgetLedger) -> float:
    """Measure how many tokens all routers together may keep spare.

    :param ledger: the budget.
    :returns: tokens.
    """
    return min(_measure_share_of_unused(ledger), _measure_risk(ledger))


def compute_loan(
    ledger: BudgetLedger | None,
    spare: int,
    demand: float,
) -> int:
    """Measure how much of what a borrower would keep spare it gets.

    What many routers keep spare serves in a cut, and is lost when all of them
    die, so that all together get no more than rows may keep spare.

    :param ledger: the budget; None when it is not known.
    :param spare: tokens that the borrower would keep for some seconds of its
        own demand.
    :param demand: tokens a second that all borrowers together ask for.
    :returns: tokens.
    """
    if ledger is None:
        return spare
    wanted = max(1, spare, SPARE_TIME * demand)
    return int(spare * min(1, measure_most(ledger) / wanted))


def _measure_share_of_unused(ledger: BudgetLedger) -> float:
    """Measure how many unused tokens all routers together may keep spare."""
    unused = ledger.count_unused()
    # Falls faster than what is unused: towards its end, what a death strands
    # is what a budget still has.
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
