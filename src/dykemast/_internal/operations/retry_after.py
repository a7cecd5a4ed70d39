"""When a caller comes back whom a router without tokens has refused.

In a cut each router has tokens of its own, and callers reach all of them. The
router knows from before the cut what the others kept, and how fast they use it.
"""

from typing import Final

from dykemast._internal.models.budget_ledger import BudgetLedger, LedgerRow
from dykemast._internal.operations.allowance_terms import Identity

#: Seconds after which a caller may come back to another router: by then the
#: answer has reached it.
ELSEWHERE_TIME: Final = 0.05
#: Seconds after which it may come back when others are as short: half of a
#: common outage.
OUTAGE_TIME: Final = 4.0
#: Part of the other routers that have to have enough: callers draw one of
#: them, an answer in time is worth all of a request and a second refusal costs
#: 0.3 of it, so that the draw pays from 0.23 on.
LIKELY_SHARE: Final = 0.25


def compute_retry_after(
    ledger: BudgetLedger | None,
    identity: Identity,
    tokens: int,
    age: float,
) -> float:
    """Measure after how many seconds a caller should come back.

    :param ledger: the budget as it was last seen; None when it never was.
    :param identity: this router, which has too few tokens.
    :param tokens: how many the request may consume.
    :param age: seconds since the budget was seen.
    :returns: seconds.
    """
    if ledger is None:
        # Nobody asked here for a while, so the others have what there is.
        return ELSEWHERE_TIME
    others = [
        row for name, row in ledger.rows.items() if name != identity.incarnation
    ]
    able = [row for row in others if _estimate_spare(row, age) >= tokens]
    likely = len(able) > LIKELY_SHARE * len(others)
    return ELSEWHERE_TIME if likely else OUTAGE_TIME


def _estimate_spare(row: LedgerRow, age: float) -> float:
    return row.count_spare() - age * row.demand
