"""Allotment of a holder that opens or renews a lease."""

from dykemast._internal.models.budgets import Budget, LeaseIntent, LeaseRow
from dykemast._internal.operations.budget_counts import count_free
from dykemast._internal.operations.lease_size import compute_lease_size


def grant_lease(budget: Budget, intent: LeaseIntent) -> Budget:
    """Change a holder's lease as far as the free tokens allow.

    :param budget: the state before.
    :param intent: intent of the holder.
    :returns: the state after.
    """
    row = budget.rows.get(intent.holder)
    allotted = _decide_allotment(budget, intent, row.allotted if row else 0)
    fresh = _make_row(intent, allotted)
    return budget._replace(rows={**budget.rows, intent.holder: fresh})


def _make_row(intent: LeaseIntent, allotted: int) -> LeaseRow:
    wanted = max(intent.armed, intent.committed + intent.need)
    return LeaseRow(
        holder=intent.holder,
        instance=intent.instance,
        seq=intent.seq,
        allotted=allotted,
        armed=min(wanted, allotted),
        spent=intent.spent,
        rate=intent.rate,
        seen=intent.seen,
    )


def _decide_allotment(budget: Budget, intent: LeaseIntent, before: int) -> int:
    kept = min(intent.min_allotted, before)
    wanted = max(
        kept,
        intent.committed + intent.need,
        compute_target(budget, intent),
    )
    return min(wanted, before + count_free(budget))


def compute_target(budget: Budget, intent: LeaseIntent) -> int:
    """Compute the allotment of a holder by the sizing rule.

    :param budget: the budget.
    :param intent: intent of the holder, with its demand.
    :returns: net tokens, to compare with an allotment.
    """
    others = [
        row for row in budget.rows.values() if row.holder != intent.holder
    ]
    spent = sum(row.spent for row in others) + intent.spent
    unspent = budget.paid - budget.closed - spent
    return intent.spent + compute_lease_size(
        unspent, intent, [row.rate for row in others]
    )
