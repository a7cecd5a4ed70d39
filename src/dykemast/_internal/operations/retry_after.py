"""Retry-After of a caller refused by a router without tokens.

In a network partition each router has its own tokens, and callers reach all
routers. The router knows from the last read of the budget how many tokens the
others kept, and how fast they use them.
"""

from typing import Final

from dykemast._internal.models.budget_ledger import BudgetLedger, LedgerRow
from dykemast._internal.operations.allowance_terms import Identity

#: Retry-After when another router may have tokens: about the time that the
#: response takes to the caller.
OTHER_ROUTER_RETRY_S: Final = 0.05
#: Retry-After when the other routers lack tokens too: half of a typical
#: outage.
OUTAGE_RETRY_S: Final = 4.0
#: Share of the other routers that must have enough tokens. Callers retry at a
#: random one; a second refusal costs them less than a response gains.
LIKELY_SHARE: Final = 0.25


def compute_retry_after(
    ledger: BudgetLedger | None,
    identity: Identity,
    tokens: int,
    age: float,
) -> float:
    """Compute after how many seconds a caller should retry.

    :param ledger: the budget as last read; None if it was never read.
    :param identity: this router, which has too few tokens.
    :param tokens: upper bound of the request's consumption.
    :param age: seconds since the budget was read.
    :returns: seconds.
    """
    if ledger is None:
        # No request has used the budget here, so the others have its tokens.
        return OTHER_ROUTER_RETRY_S
    others = [
        row for name, row in ledger.rows.items() if name != identity.incarnation
    ]
    able = [row for row in others if _estimate_spare(row, age) >= tokens]
    likely = len(able) > LIKELY_SHARE * len(others)
    return OTHER_ROUTER_RETRY_S if likely else OUTAGE_RETRY_S


def _estimate_spare(row: LedgerRow, age: float) -> float:
    return row.count_spare() - age * row.demand
