"""How much a holder gets when it asks for a lease or renews one."""

from dykemast._internal.models.budgets import Budget, LeaseIntent, LeaseRow
from dykemast._internal.operations.budget_counts import count_free
from dykemast._internal.operations.lease_size import size_target


def grant_lease(budget: Budget, intent: LeaseIntent) -> Budget:
    """Change a holder's lease as far as the free tokens allow.

    :param budget: the state before.
    :param intent: what the holder wants.
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
        find_target(budget, intent),
    )
    return min(wanted, before + count_free(budget))


def find_target(budget: Budget, intent: LeaseIntent) -> int:
    """Find the allotment that the sizing rule wants for a holder.

    :param budget: the budget.
    :param intent: the holder's demand.
    :returns: net tokens, to compare with an allotment.
    """
    others = [
        row for row in budget.rows.values() if row.holder != intent.holder
    ]
    spent = sum(row.spent for row in others) + intent.spent
    unspent = budget.paid - budget.closed - spent
    return intent.spent + size_target(
        unspent, intent, [row.rate for row in others]
    )
