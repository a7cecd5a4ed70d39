"""Number of spare tokens of a budget that a router keeps."""

from typing import Final

from dykemast._internal.models.budget_ledger import BudgetLedger
from dykemast._internal.operations.allowance_terms import Identity

#: Share of the unused tokens that all routers together may keep spare. Spare
#: tokens serve requests in a network partition; a router that dies loses them.
SPARE_SHARE: Final = 0.35
#: Share of a budget that may be lost as spare tokens of dead routers. Spare
#: tokens shrink with what is left of it: otherwise repeated deaths would make
#: nearly all unconsumed tokens unusable.
LOSS_SHARE: Final = 0.2
#: Demand to keep spare at most: about the duration of a network partition in
#: which every router is isolated.
SPARE_DEMAND_S: Final = 9.0
#: Spare tokens beyond that: enough for one large request.
EXTRA_SPARE_TOKENS: Final = 8000
#: Share of the mean demand added for each router, so that one without
#: requests so far gets spare tokens too.
MIN_DEMAND_SHARE: Final = 0.1
#: Demand added for each router.
MIN_DEMAND_PER_S: Final = 100


def compute_spare(
    ledger: BudgetLedger,
    identity: Identity,
    routers: int,
) -> int:
    """Compute how many tokens one router may keep spare.

    Spare tokens are shared by demand, since the requests of a workspace often
    reach one router only. All rows together never have more spare tokens than
    the budget may lose by deaths.

    :param ledger: the budget, with a row of the router.
    :param identity: the router.
    :param routers: number of routers that share the budget.
    :returns: tokens.
    """
    row = ledger.rows[identity.incarnation]
    wanted = EXTRA_SPARE_TOKENS + SPARE_DEMAND_S * row.demand
    share = _compute_demand_share(ledger, row.demand, routers)
    most = compute_max_spare(ledger)
    # Rows are computed at different times, with changing demand, so the
    # shares may add up to more than 1.
    free = most - ledger.count_spare() + row.count_spare()
    return max(0, int(min(wanted, share * most, free)))


def compute_max_spare(ledger: BudgetLedger) -> float:
    """Compute how many tokens all routers together may keep spare.

    :param ledger: the budget.
    :returns: tokens.
    """
    return min(
        _compute_share_of_unused(ledger), _compute_loss_allowance(ledger)
    )


def compute_loan(
    ledger: BudgetLedger | None,
    spare: int,
    demand: float,
) -> int:
    """Compute how many of the requested spare tokens a borrower gets.

    Spare tokens of many routers serve requests in a network partition, and
    are lost if all of these die. So all borrowers together get no more than
    rows may keep spare.

    :param ledger: the budget; None if it is not known.
    :param spare: spare tokens requested, for some seconds of the borrower's
        demand.
    :param demand: demand of all borrowers, in tokens per second.
    :returns: tokens.
    """
    if ledger is None:
        return spare
    wanted = max(1, spare, SPARE_DEMAND_S * demand)
    return int(spare * min(1, compute_max_spare(ledger) / wanted))


def _compute_share_of_unused(ledger: BudgetLedger) -> float:
    """Compute the spare tokens allowed by the unused part of the budget."""
    unused = ledger.count_unused()
    # Falls faster than the unused tokens: near the end of a budget, the
    # tokens lost by a death are most of the rest.
    left = unused / max(1, ledger.prepaid)
    return SPARE_SHARE * left * unused


def _compute_loss_allowance(ledger: BudgetLedger) -> float:
    """Compute how many tokens may still be lost by deaths."""
    return max(0, LOSS_SHARE * ledger.prepaid - ledger.closed_spare)


def _compute_demand_share(
    ledger: BudgetLedger,
    demand: float,
    routers: int,
) -> float:
    """Compute a router's share of the demand, from 0 to 1."""
    total = sum(row.demand for row in ledger.rows.values())
    floor = MIN_DEMAND_PER_S + MIN_DEMAND_SHARE * total / max(1, routers)
    sharing = max(routers, len(ledger.rows))
    return (demand + floor) / (total + floor * sharing)
