"""One router's part of a workspace's budget.

The store keeps a row for each incarnation with the tokens that it may have
consumed at the most. The sum of all rows never exceeds the budget, so that
no fault can overspend it: a router consumes only what each row that the
store may hold for it allows. The row of a router that ended is charged with
all that it may have consumed by then.
"""

from typing import Final, NamedTuple

from dykemast._internal.models.budget_ledger import (
    BudgetLedger,
    LedgerRow,
)

#: Part of the unused tokens that all routers together may keep spare. What
#: is spare serves requests in a cut, and is lost when its router dies; the
#: figure is from trials on days that have both (docs/design/machines.md).
SPARE_SHARE: Final = 0.5
#: Seconds of demand to keep spare at most: cuts last some 8 s, and a request
#: holds more than it consumes.
SPARE_TIME: Final = 4.0
#: Tokens to keep spare beyond that: a request of the larger kind.
SPARE_FLOOR: Final = 8000
#: Part of the mean demand that counts for each router, so that one without
#: requests so far gets something too.
DEMAND_FLOOR: Final = 0.1
#: Tokens a second that count for each router at least.
MIN_DEMAND: Final = 100


class Identity(NamedTuple):
    """Who writes a row.

    :param instance: name of the instance.
    :param incarnation: fresh for each process start.
    """

    instance: str
    incarnation: str


class Terms(NamedTuple):
    """What bounds a row, as the configuration and the fleet are now.

    :param version: version of the configuration.
    :param prepaid: tokens paid for.
    :param routers: routers that share the budget.
    """

    version: int
    prepaid: int
    routers: int


class Want(NamedTuple):
    """What a row should allow beyond what is consumed and held.

    :param pending: tokens that requests are waiting for.
    :param demand: tokens a second that requests asked for lately.
    :param spare: whether to keep any tokens spare.
    """

    pending: int = 0
    demand: float = 0
    spare: bool = True


class Usage:
    """Tokens of one budget that this router consumed, holds and passed on.

    All but ``held`` only grow.
    """

    def __init__(self) -> None:
        """Start with nothing."""
        self.spent = 0
        self.held = 0
        self.lent = 0
        self.borrowed = 0

    def count_charged(self) -> int:
        """Count the tokens that this router's row has to cover.

        :returns: tokens; negative when more was borrowed than used.
        """
        return self.spent + self.held + self.lent - self.borrowed


class Allowance:
    """What this router may consume of one budget.

    :param identity: who this router is.
    """

    def __init__(self, identity: Identity) -> None:
        """Start with nothing."""
        self.usage = Usage()
        self._identity = identity
        #: Rows of this router that the store may hold, the confirmed first.
        self._rows: list[LedgerRow] = []
        #: Set when the budget was lowered: nothing beyond this is used
        #: before the store has confirmed a newer row.
        self._ceiling: int | None = None

    def count_room(self) -> int:
        """Count the tokens that may be held now.

        :returns: tokens.
        """
        allowed = [row.limit for row in self._rows]
        if self._ceiling is not None:
            allowed.append(self._ceiling)
        return min(allowed, default=0) - self.usage.count_charged()

    def take_hold(self, tokens: int) -> bool:
        """Set tokens aside for a request.

        :param tokens: what it may consume at the most.
        :returns: whether there were as many.
        """
        if self.count_room() < tokens:
            return False
        self.usage.held += tokens
        return True

    def settle(self, tokens: int, used: int) -> None:
        """End a request.

        :param tokens: what was held for it.
        :param used: what it consumed of that.
        """
        self.usage.held -= tokens
        self.usage.spent += used

    def lend(self, tokens: int) -> int:
        """Give spare tokens to another router, for good.

        :param tokens: how many it wants.
        :returns: how many it gets.
        """
        given = max(0, min(tokens, self.count_room()))
        self.usage.lent += given
        return given

    def drop_spare(self) -> None:
        """Allow no more than what is consumed and held already."""
        self._ceiling = self.usage.count_charged()

    def plan_write(
        self,
        ledger: BudgetLedger | None,
        terms: Terms,
        want: Want,
    ) -> BudgetLedger:
        """Plan the next state of the budget in the store.

        Until ``take_written`` this router obeys both this row and those
        before, since it cannot know which of them the store holds.

        :param ledger: the state that the write will replace; None for none.
        :param terms: what bounds the row.
        :param want: what the row should allow beyond its use.
        :returns: the state to write.
        """
        ledger = _adopt_terms(ledger, terms)
        ledger = close_rows(ledger, self._identity)
        row = self._plan_row(ledger, terms, want)
        self._rows.append(row)
        rows = {**ledger.rows, self._identity.incarnation: row}
        return ledger._replace(rows=rows)

    def take_written(self, ledger: BudgetLedger) -> None:
        """Use what the store has confirmed.

        :param ledger: the state as it was written.
        """
        self._rows = [ledger.rows[self._identity.incarnation]]
        self._ceiling = None

    def list_others(self, ledger: BudgetLedger) -> list[LedgerRow]:
        """List the rows of other processes.

        :param ledger: the budget.
        :returns: their rows.
        """
        return [
            row
            for name, row in ledger.rows.items()
            if name != self._identity.incarnation
        ]

    def _plan_row(
        self,
        ledger: BudgetLedger,
        terms: Terms,
        want: Want,
    ) -> LedgerRow:
        stored = ledger.rows.get(self._identity.incarnation)
        charged = max(0, self.usage.count_charged())
        before = stored.limit if stored else 0
        free = max(0, ledger.count_free() + before - charged)
        granted = min(free, want.pending)
        row = LedgerRow(
            instance=self._identity.instance,
            limit=charged + granted,
            spent=self.usage.spent,
            charged=charged + granted,
            demand=round(want.demand, 1),
        )
        if not want.spare:
            return row
        others = self.list_others(ledger)
        unused = ledger.prepaid - ledger.closed - row.charged
        unused -= sum(other.charged for other in others)
        spare = measure_spare(unused, row.demand, others, terms.routers)
        return row._replace(limit=row.limit + min(free - granted, spare))


def close_rows(ledger: BudgetLedger, identity: Identity) -> BudgetLedger:
    """Charge the rows of earlier processes on an instance in full.

    They have ended, since another one runs there; what they consumed beyond
    what they wrote is not known.

    :param ledger: the budget.
    :param identity: the process that runs now.
    :returns: the budget without these rows.
    """
    ended = {
        name: row
        for name, row in ledger.rows.items()
        if row.instance == identity.instance and name != identity.incarnation
    }
    return ledger._replace(
        rows={
            name: row for name, row in ledger.rows.items() if name not in ended
        },
        closed=ledger.closed + sum(row.limit for row in ended.values()),
        closed_spent=ledger.closed_spent
        + sum(row.spent for row in ended.values()),
    )


def measure_spare(
    unused: int,
    demand: float,
    others: list[LedgerRow],
    routers: int,
) -> int:
    """Measure how many tokens one router may keep spare.

    Spare tokens go where requests come: those of a workspace often meet one
    router only.

    :param unused: tokens of the budget that are neither consumed nor held.
    :param demand: this router's, in tokens a second.
    :param others: rows of the other routers.
    :param routers: routers that share the budget.
    :returns: tokens.
    """
    demands = [demand, *(row.demand for row in others)]
    floor = MIN_DEMAND + DEMAND_FLOOR * sum(demands) / max(1, routers)
    total = sum(demands) + floor * max(routers, len(demands))
    share = (demand + floor) / total
    wanted = SPARE_FLOOR + SPARE_TIME * demand
    return max(0, int(min(wanted, SPARE_SHARE * unused * share)))


def _adopt_terms(ledger: BudgetLedger | None, terms: Terms) -> BudgetLedger:
    if ledger is None:
        return BudgetLedger(terms.version, terms.prepaid, {})
    if terms.version < ledger.version:
        # Another router knows a newer configuration.
        return ledger
    return ledger._replace(version=terms.version, prepaid=terms.prepaid)
