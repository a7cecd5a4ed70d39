"""One router's part of a workspace's budget.

The store keeps a row for each incarnation with the tokens that it may have
consumed at the most. The sum of all rows never exceeds the budget, so that
no fault can overspend it: a router consumes only below the lower of all
limits that the store may hold for it. The row of a router that ends is
charged in full; so little is kept spare.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from dykemast._internal.models.news import BudgetLedger, LedgerRow


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


#: Part of the free tokens that all routers together may keep spare. Half of
#: it leaves as much for the one that meets a rush.
SPARE_SHARE: Final = 1.0


class Want(NamedTuple):
    """What a row should allow beyond what is consumed and held.

    :param pending: tokens that requests are waiting for.
    :param spare: tokens for requests to come.
    """

    pending: int = 0
    spare: int = 0


class Allowance:
    """Tokens of one budget that this router may consume.

    All figures are tokens and, but for ``held``, only grow; ``limit`` moves
    both ways.

    :param identity: who this router is.
    """

    def __init__(self, identity: Identity) -> None:
        """Start with nothing."""
        self._identity = identity
        #: What the row in the store allows, at least.
        self.limit = 0
        self.spent = 0
        self.held = 0
        self.lent = 0
        self.borrowed = 0

    def count_room(self) -> int:
        """Count the tokens that may be held now.

        :returns: tokens.
        """
        allowed = self.limit + self.borrowed - self.lent
        return allowed - self.spent - self.held

    def take_hold(self, tokens: int) -> bool:
        """Set tokens aside for a request.

        :param tokens: what it may consume at the most.
        :returns: whether there were as many.
        """
        if self.count_room() < tokens:
            return False
        self.held += tokens
        return True

    def settle(self, tokens: int, used: int) -> None:
        """End a request.

        :param tokens: what was held for it.
        :param used: what it consumed of that.
        """
        self.held -= tokens
        self.spent += used

    def lend(self, tokens: int) -> int:
        """Give spare tokens to another router, for good.

        :param tokens: how many it wants.
        :returns: how many it gets.
        """
        given = max(0, min(tokens, self.count_room()))
        self.lent += given
        return given

    def drop_spare(self) -> None:
        """Allow no more than what is consumed and held already."""
        self.limit = min(self.limit, self._count_needed())

    def plan_write(
        self,
        ledger: BudgetLedger | None,
        terms: Terms,
        want: Want,
    ) -> BudgetLedger:
        """Plan the next state of the budget in the store.

        Until the write is settled this router obeys the lower limit of both
        states; ``take_written`` is called once the store has confirmed it.

        :param ledger: the state that the write will replace; None for none.
        :param terms: what bounds the row.
        :param want: what the row should allow beyond its use.
        :returns: the state to write.
        """
        ledger = _adopt_terms(ledger, terms)
        ledger = self._close_predecessors(ledger)
        limit = self._choose_limit(ledger, terms, want)
        self.limit = min(self.limit, limit)
        row = LedgerRow(self._identity.instance, limit, self.spent)
        rows = {**ledger.rows, self._identity.incarnation: row}
        return ledger._replace(rows=rows)

    def take_written(self, ledger: BudgetLedger) -> None:
        """Use what the store has confirmed.

        :param ledger: the state as it was written.
        """
        self.limit = ledger.rows[self._identity.incarnation].limit

    def _choose_limit(
        self,
        ledger: BudgetLedger,
        terms: Terms,
        want: Want,
    ) -> int:
        stored = ledger.rows.get(self._identity.incarnation)
        before = stored.limit if stored else 0
        needed = self._count_needed()
        free = max(0, ledger.count_free() + before - needed)
        rest = max(0, free - want.pending)
        share = measure_share(rest, terms.routers)
        return needed + min(free, want.pending + min(want.spare, share))

    def _count_needed(self) -> int:
        used = self.spent + self.held
        return max(0, used + self.lent - self.borrowed)

    def _close_predecessors(self, ledger: BudgetLedger) -> BudgetLedger:
        """Charge the rows of earlier processes on this instance in full.

        They have ended, since this one runs; what they consumed beyond
        what they wrote is not known.
        """
        ended = _find_rows(
            ledger,
            lambda name, row: name != self._identity.incarnation
            and row.instance == self._identity.instance,
        )
        return ledger._replace(
            rows={
                name: row
                for name, row in ledger.rows.items()
                if name not in ended
            },
            closed_limit=ledger.closed_limit
            + sum(row.limit for row in ended.values()),
            closed_spent=ledger.closed_spent
            + sum(row.spent for row in ended.values()),
        )


def measure_share(free: int, routers: int) -> int:
    """Measure how many free tokens one router may keep spare.

    :param free: tokens that no router may consume yet.
    :param routers: routers that share the budget.
    :returns: tokens.
    """
    return int(free * SPARE_SHARE / max(1, routers))


def _find_rows(
    ledger: BudgetLedger,
    is_wanted: Callable[[str, LedgerRow], bool],
) -> dict[str, LedgerRow]:
    return {
        name: row for name, row in ledger.rows.items() if is_wanted(name, row)
    }


def _adopt_terms(ledger: BudgetLedger | None, terms: Terms) -> BudgetLedger:
    if ledger is None:
        return BudgetLedger(terms.version, terms.prepaid, {})
    if terms.version < ledger.version:
        # Another router knows a newer configuration.
        return ledger
    return ledger._replace(version=terms.version, prepaid=terms.prepaid)
