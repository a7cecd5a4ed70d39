"""A workspace's budget, as it is written down in the store."""

from typing import NamedTuple


class LedgerRow(NamedTuple):
    """What one incarnation of a router may consume of a budget.

    :param instance: its instance.
    :param limit: tokens that it may have consumed, at the most.
    :param spent: tokens that are known to be consumed.
    :param charged: tokens that were consumed, held or lent when it was
        written.
    :param demand: tokens a second that requests asked for lately.
    """

    instance: str
    limit: int
    spent: int
    charged: int
    demand: float

    def count_spare(self) -> int:
        """Count the tokens allowed beyond what was charged.

        :returns: tokens.
        """
        return self.limit - self.charged


class BudgetLedger(NamedTuple):
    """A workspace's budget in the store.

    :param version: of the configuration that ``prepaid`` is from.
    :param prepaid: tokens paid for.
    :param rows: by incarnation.
    :param closed: tokens charged for ended incarnations.
    :param closed_spent: tokens that these are known to have consumed.
    :param closed_spare: tokens that these kept spare, consumed by nobody.
    """

    version: int
    prepaid: int
    rows: dict[str, LedgerRow]
    closed: int = 0
    closed_spent: int = 0
    closed_spare: int = 0

    def has_valid_counts(self) -> bool:
        """Tell whether the counts can be: one below 0 would make tokens.

        :returns: whether they can.
        """
        rows = self.rows.values()
        counts = [(row.limit, row.spent, row.charged) for row in rows]
        counts.append((self.closed, self.closed_spent, self.closed_spare))
        return min(min(three) for three in counts) >= 0

    def count_free(self) -> int:
        """Count the tokens that no router may consume yet.

        :returns: tokens; negative when the budget was lowered.
        """
        limits = sum(row.limit for row in self.rows.values())
        return self.prepaid - self.closed - limits

    def count_unused(self) -> int:
        """Count the tokens that are neither consumed nor held, so far known.

        :returns: tokens, at least 0.
        """
        charged = sum(row.charged for row in self.rows.values())
        return max(0, self.prepaid - self.closed - charged)

    def count_spare(self) -> int:
        """Count the tokens that rows allow beyond what was charged then.

        :returns: tokens.
        """
        return sum(row.count_spare() for row in self.rows.values())

    def count_unspent(self) -> int:
        """Count the tokens that are not known to be consumed.

        :returns: tokens.
        """
        spent = sum(row.spent for row in self.rows.values())
        return self.prepaid - self.closed_spent - spent
