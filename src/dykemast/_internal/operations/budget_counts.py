"""Counts over the leases of one budget."""

from dykemast._internal.models.budgets import Budget, BudgetAck


def count_free(budget: Budget) -> int:
    """Count the tokens that are in no lease.

    :param budget: the budget.
    :returns: tokens, never negative for a valid budget.
    """
    leased = sum(row.allotted for row in budget.rows.values())
    return budget.paid - budget.closed - leased


def count_unspent(budget: Budget) -> int:
    """Count the tokens that no holder has reported as spent.

    :param budget: the budget.
    :returns: tokens.
    """
    spent = sum(row.spent for row in budget.rows.values())
    return budget.paid - budget.closed - spent


def is_within_paid(budget: Budget) -> bool:
    """Check the invariant that prevents overspending a budget.

    :param budget: the budget.
    :returns: whether closed plus leased tokens are at most the paid ones.
    """
    return count_free(budget) >= 0


def build_ack(budget: Budget, holder: str, target: int = 0) -> BudgetAck:
    """Build the answer to one holder from the state of a budget.

    :param budget: the budget.
    :param holder: holder of the row; empty for a top-up.
    :param target: allotment that the sizing rule computes for the holder.
    :returns: the answer, without the budget's name.
    """
    row = budget.rows.get(holder)
    return BudgetAck(
        budget='',
        holder=holder,
        seq=row.seq if row else 0,
        allotted=row.allotted if row else 0,
        armed=row.armed if row else 0,
        target=target,
        free=count_free(budget),
        paid=budget.paid,
        unspent=count_unspent(budget),
    )
