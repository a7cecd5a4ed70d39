"""Application of intents to a budget.

The functions are pure and idempotent, so a write whose answer was lost is
retried. The invariant that prevents overspending is checked by
:func:`is_within_paid`: ``closed + sum(allotted) <= paid``.
"""

from typing import NamedTuple

from dykemast._internal.models.budgets import (
    MAX_TOPUP_IDS,
    Budget,
    BudgetAck,
    BudgetIntent,
    LeaseIntent,
    LeaseRow,
    ReclaimIntent,
    TopupIntent,
)
from dykemast._internal.operations.budget_counts import (
    build_ack,
)
from dykemast._internal.operations.lease_grant import (
    compute_target,
    grant_lease,
)


class AppliedIntent(NamedTuple):
    """A budget after an intent, and the answer to it.

    :param budget: the new state; the same object if nothing changed.
    :param ack: the answer.
    """

    budget: Budget
    ack: BudgetAck


def apply_intent(budget: Budget, intent: BudgetIntent) -> AppliedIntent:
    """Apply one intent.

    :param budget: the state before.
    :param intent: the intent.
    :returns: the state after, and the answer.
    """
    if isinstance(intent, TopupIntent):
        changed = _add_topup(budget, intent)
        return AppliedIntent(changed, build_ack(changed, ''))
    if isinstance(intent, ReclaimIntent):
        changed = _reclaim(budget, intent)
        return AppliedIntent(changed, build_ack(changed, intent.holder))
    row = budget.rows.get(intent.holder)
    if _is_stale(row, intent):
        return AppliedIntent(budget, build_ack(budget, intent.holder))
    if intent.closing:
        changed = _close(budget, intent.holder, intent.spent)
        return AppliedIntent(changed, build_ack(changed, intent.holder))
    granted = grant_lease(budget, intent)
    target = compute_target(granted, intent)
    return AppliedIntent(granted, build_ack(granted, intent.holder, target))


def _is_stale(row: LeaseRow | None, intent: LeaseIntent) -> bool:
    # Only the first intent of a holder opens a row. A missing row was closed,
    # and a delayed copy of a later intent must not open it again.
    if row is None:
        return intent.seq > 1
    return row.seq >= intent.seq


def _add_topup(budget: Budget, intent: TopupIntent) -> Budget:
    if intent.topup in budget.topups:
        return budget
    known = (*budget.topups, intent.topup)[-MAX_TOPUP_IDS:]
    return budget._replace(paid=budget.paid + intent.tokens, topups=known)


def _close(budget: Budget, holder: str, charge: int) -> Budget:
    rows = {**budget.rows}
    rows.pop(holder, None)
    return budget._replace(rows=rows, closed=budget.closed + charge)


def _reclaim(budget: Budget, intent: ReclaimIntent) -> Budget:
    row = budget.rows.get(intent.holder)
    if row is None or row.seq != intent.seq:
        return budget
    charge = row.allotted if intent.full else row.armed
    closed = _close(budget, intent.holder, charge)
    return closed._replace(in_doubt=budget.in_doubt + charge - row.spent)
