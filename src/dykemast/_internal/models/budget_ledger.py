"""A workspace's budget, as it is stored in the object store."""

from collections.abc import Set
from operator import attrgetter
from typing import NamedTuple


class LedgerRow(NamedTuple):
    """Tokens that one incarnation of a router may consume of a budget.

    :param instance: its instance.
    :param limit: upper bound of the tokens consumed.
    :param spent: tokens known to be consumed.
    :param charged: tokens consumed, held or lent when the row was written.
    :param demand: recent demand, in tokens per second.
    """

    instance: str
    limit: int
    spent: int
    charged: int
    demand: float

    def count_spare(self) -> int:
        """Count the tokens allowed beyond those charged.

        :returns: tokens.
        """
        return self.limit - self.charged

    def choose_newer(self, other: 'LedgerRow') -> 'LedgerRow':
        """Choose the newer of two rows of one incarnation: it has spent more.

        :param other: the other row.
        :returns: one of them; the higher of each count if both may be newer.
        """
        if self.spent != other.spent:
            return self if self.spent > other.spent else other
        return self._replace(
            limit=max(self.limit, other.limit),
            charged=max(self.charged, other.charged),
            demand=max(self.demand, other.demand),
        )

    def add_charge(self, tokens: int) -> 'LedgerRow':
        """Charge tokens that the router may have consumed.

        :param tokens: number of tokens.
        :returns: the row.
        """
        limit = self.limit + tokens
        return self._replace(limit=limit, charged=self.charged + tokens)


class BudgetLedger(NamedTuple):
    """A workspace's budget in the store.

    :param version: version of the configuration that ``prepaid`` is from.
    :param prepaid: tokens paid for.
    :param rows: rows by incarnation.
    :param closed: tokens charged for ended incarnations.
    :param closed_spent: tokens that these are known to have consumed.
    :param closed_spare: spare tokens of these, charged but not consumed.
    :param era: era of the store in which it was last settled; in a later era
        it is a copy that may lack what routers have written since.
    """

    version: int
    prepaid: int
    rows: dict[str, LedgerRow]
    closed: int = 0
    closed_spent: int = 0
    closed_spare: int = 0
    era: int = 0

    def has_valid_counts(self) -> bool:
        """Check that no count is negative, since that would create tokens.

        :returns: whether all counts are at least 0.
        """
        rows = self.rows.values()
        counts = [(row.limit, row.spent, row.charged) for row in rows]
        counts.append((self.closed, self.closed_spent, self.closed_spare))
        return min(self.era, *(min(three) for three in counts)) >= 0

    def charge_rows(self, names: Set[str]) -> 'BudgetLedger':
        """Close rows, and charge them in full.

        :param names: incarnations, each with a row.
        :returns: the budget without these rows.
        """
        ended = [self.rows[name] for name in names]
        kept = self.rows.keys() - names
        return self._replace(
            rows={name: row for name, row in self.rows.items() if name in kept},
            closed=self.closed + sum(row.limit for row in ended),
            closed_spent=self.closed_spent + sum(row.spent for row in ended),
            closed_spare=self.closed_spare
            + sum(row.count_spare() for row in ended),
        )

    def replace_row(self, name: str, row: LedgerRow) -> 'BudgetLedger':
        """Add a row, or replace it.

        :param name: its incarnation.
        :param row: the row.
        :returns: the budget with this row.
        """
        return self._replace(rows={**self.rows, name: row})

    def count_free(self) -> int:
        """Count the tokens that are not assigned to any router.

        :returns: tokens; negative if the budget was lowered.
        """
        limits = sum(row.limit for row in self.rows.values())
        return self.prepaid - self.closed - limits

    def count_unused(self) -> int:
        """Count the tokens not known to be consumed, held or lent.

        :returns: tokens, at least 0.
        """
        charged = sum(row.charged for row in self.rows.values())
        return max(0, self.prepaid - self.closed - charged)

    def count_spare(self) -> int:
        """Count the spare tokens of all rows.

        :returns: tokens.
        """
        return sum(row.count_spare() for row in self.rows.values())

    def count_unspent(self) -> int:
        """Count the tokens that are not known to be consumed.

        :returns: tokens.
        """
        spent = sum(row.spent for row in self.rows.values())
        return self.prepaid - self.closed_spent - spent


def merge_ledgers(
    first: BudgetLedger,
    second: BudgetLedger,
    latest: Set[str],
) -> BudgetLedger:
    """Merge two states, so that no row loses tokens that either assigns it.

    :param first: one state.
    :param second: another state.
    :param latest: latest known incarnation of each instance.
    :returns: the merged state.
    """
    closed = [
        _close_replaced(first, second, latest),
        _close_replaced(second, first, latest),
    ]
    newer = max(closed, key=attrgetter('version'))
    return newer._replace(
        rows=_merge_rows(closed[0].rows, closed[1].rows),
        closed=max(one.closed for one in closed),
        closed_spent=max(one.closed_spent for one in closed),
        closed_spare=max(one.closed_spare for one in closed),
        era=max(one.era for one in closed),
    )


def _close_replaced(
    ledger: BudgetLedger,
    other: BudgetLedger,
    latest: Set[str],
) -> BudgetLedger:
    """Close the rows that the other state may count as closed.

    A row is closed by the next incarnation on its instance. Kept as a row
    beside the closed tokens of the other state, it would be charged twice.
    """
    instances = {row.instance for row in other.rows.values()}
    replaced = {
        name
        for name, row in ledger.rows.items()
        if row.instance in instances
        and name not in other.rows
        and name not in latest
    }
    return ledger.charge_rows(replaced)


def _merge_rows(
    first: dict[str, LedgerRow],
    second: dict[str, LedgerRow],
) -> dict[str, LedgerRow]:
    merged = {**first, **second}
    for name in first.keys() & second.keys():
        merged[name] = first[name].choose_newer(second[name])
    return merged
