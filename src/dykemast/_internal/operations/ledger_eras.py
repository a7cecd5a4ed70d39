"""Budgets after the object store returned from an older copy.

The store has a new era then. A budget that was last settled in an earlier era
is a copy: other routers may have consumed tokens that are free in it. No
router gets tokens of it until all had time to write what they know. What
routers know of it from before may be newer than the copy, or older.
"""

from collections.abc import Set
from typing import Final, NamedTuple

from dykemast._internal.models.budget_ledger import (
    BudgetLedger,
    LedgerRow,
    merge_ledgers,
)
from dykemast._internal.operations.allowance_terms import StoreEra

#: Highest age of a copy that is reckoned with.
MAX_COPY_AGE_S: Final = 10.0
#: Factor on the demand of ended routers in a copy that no running router knows
#: more of: a row may be as old as the first of many requests.
UNKNOWN_DEMAND_FACTOR: Final = 4
#: No incarnation is known.
NO_INCARNATIONS: Final[Set[str]] = frozenset()


class Knowledge(NamedTuple):
    """What a router knows of a budget.

    :param ledger: the budget; None if there is none.
    :param era: era of the store in which it was last read.
    :param earlier: the budget as known in earlier eras, as long as the store
        may lack it.
    :param is_newer: whether the store lacks a part of ``ledger``.
    """

    ledger: BudgetLedger | None = None
    era: int = 0
    earlier: BudgetLedger | None = None
    is_newer: bool = False

    def is_settled(self) -> bool:
        """Check whether tokens of the budget may be granted.

        :returns: whether it was settled in the era in which it was read.
        """
        settled = self.ledger.era if self.ledger else 0
        return settled >= self.era


def learn_ledger(
    known: Knowledge,
    found: BudgetLedger | None,
    era: int,
    latest: Set[str],
) -> Knowledge:
    """Add what the store has to what is known.

    :param known: what is known.
    :param found: the budget in the store; None if there is none.
    :param era: era of the store; not below that of what is known.
    :param latest: latest known incarnation of each instance.
    :returns: what is known now.
    """
    is_back = era > known.era or _is_settled_earlier(found, known.ledger)
    earlier = known.ledger if is_back else known.earlier
    if earlier is None:
        return Knowledge(found, era)
    merged = merge_ledgers(found, earlier, latest) if found else earlier
    learned = Knowledge(merged, era, earlier, is_newer=merged != found)
    if learned.is_newer or not learned.is_settled():
        return learned
    return Knowledge(found, era)


def confirm_row(known: Knowledge, name: str, row: LedgerRow) -> Knowledge:
    """Replace what is known of a row by what its router wrote now.

    That router alone knows its row, which may allow less than it did in earlier
    eras.

    :param known: what the router knows.
    :param name: its incarnation.
    :param row: its row as the store has confirmed it.
    :returns: what it knows now.
    """
    return known._replace(
        ledger=known.ledger and known.ledger.replace_row(name, row),
        earlier=known.earlier and known.earlier.replace_row(name, row),
    )


def _is_settled_earlier(
    found: BudgetLedger | None, known: BudgetLedger | None
) -> bool:
    """Tell whether a late write of an earlier era has replaced the budget."""
    return bool(found and known and found.era < known.era)


def settle_ledger(
    ledger: BudgetLedger,
    era: StoreEra,
) -> BudgetLedger:
    """Declare that a budget holds what the running routers know.

    Routers that are not known to be running may have written more after the
    copy was made, which this one did not see. They are charged by their demand
    in that time, as far as it is free; by a multiple of it if this process
    knows nothing from before either.

    :param ledger: the budget, with what is known merged into it.
    :param era: era of the store.
    :returns: the budget, from which tokens may be granted.
    """
    if ledger.era >= era.number:
        return ledger
    free = max(0, ledger.count_free())
    unseen_s = min(MAX_COPY_AGE_S, max(0, era.unseen_s))
    if era.is_first:
        unseen_s *= UNKNOWN_DEMAND_FACTOR
    rows = dict(ledger.rows)
    for name in sorted(rows.keys() - era.live):
        more = min(free, round(unseen_s * rows[name].demand))
        rows[name] = rows[name].add_charge(more)
        free -= more
    return ledger._replace(rows=rows, era=era.number)
