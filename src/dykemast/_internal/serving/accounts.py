"""State of the budgets that this router draws on."""

import asyncio
import math
import time
from typing import Any, Final, NamedTuple

import msgspec

from dykemast._internal.models.news import BudgetLedger
from dykemast._internal.operations.allowance import (
    Allowance,
    Terms,
    Want,
    measure_share,
)
from dykemast._internal.platform.objects import StoreObject

#: Kind of the objects that hold the budgets.
BUDGET_KIND: Final = 'dykemast-budgets'
#: Seconds over which demand is averaged: some requests of a workspace at
#: one router, which come about once a second and differ in size.
DEMAND_WINDOW: Final = 8.0
#: Seconds of demand to keep spare. Cuts last about 8 s, and a request holds
#: about twice what it consumes.
SPARE_TIME: Final = 20.0
#: Tokens to keep spare at least, where there are enough: a request or two.
MIN_SPARE: Final = 16_000


class Hold(NamedTuple):
    """Tokens that are set aside for one request.

    :param workspace: whose budget they are of.
    :param tokens: how many.
    """

    workspace: str
    tokens: int


class Account:
    """One workspace's budget, as this router knows it.

    :param workspace: its name.
    :param allowance: what this router may consume.
    """

    def __init__(self, workspace: str, allowance: Allowance) -> None:
        """Know nothing of the store yet."""
        self.workspace = workspace
        self.allowance = allowance
        #: Tokens that requests are waiting for.
        self.pending = 0
        #: Looks for tokens now, unless it is done.
        self.search: asyncio.Task[Any] | None = None
        #: Whether the store failed when it was last asked.
        self.is_away = False
        #: Whether nothing is to be kept spare any more.
        self.is_closing = False
        #: The object as last seen; None when it has to be read first.
        self.stored: StoreObject | None = None
        self.ledger: BudgetLedger | None = None
        self.revision = 0
        self.written_at = -math.inf
        self.short_until = -math.inf
        #: A hold of this size was refused.
        self._short_of = 0
        self._routers = 1
        self._demand = 0.0
        self._demand_at = time.monotonic()

    def note_demand(self, tokens: int) -> None:
        """Count the demand of a request.

        :param tokens: what it may consume at the most.
        """
        self._demand = self.measure_demand() * DEMAND_WINDOW + tokens
        self._demand_at = time.monotonic()

    def measure_demand(self) -> float:
        """Measure the demand of the last seconds.

        :returns: tokens a second.
        """
        passed = time.monotonic() - self._demand_at
        return self._demand * math.exp(-passed / DEMAND_WINDOW) / DEMAND_WINDOW

    def measure_target(self) -> int:
        """Measure how many tokens should be kept spare.

        :returns: tokens, no more than this router's share.
        """
        free = max(0, self.ledger.count_free()) if self.ledger else 0
        room = self.allowance.count_room()
        share = measure_share(free + room, self._routers)
        return min(self._measure_spare(), share)

    def is_short_of(self, tokens: int) -> bool:
        """Tell whether there were too few tokens a moment ago.

        :param tokens: how many are wanted.
        :returns: whether no more than now were refused.
        """
        return tokens >= self._short_of and time.monotonic() < self.short_until

    def note_short(self, tokens: int, until: float) -> None:
        """Remember that there are too few tokens.

        :param tokens: how many were refused.
        :param until: seconds on the steady clock.
        """
        self._short_of = tokens
        self.short_until = until

    def take_written(self, written: StoreObject) -> None:
        """Use what the store has confirmed.

        :param written: the object.
        """
        self.see(written)
        if self.ledger:
            self.allowance.take_written(self.ledger)

    def see(self, stored: StoreObject) -> None:
        """Take note of the object as it is in the store.

        :param stored: the object; revision 0 when there is none.
        """
        self.stored = stored
        self.revision = stored.revision
        self.ledger = _decode_ledger(stored.spec) if stored.revision else None

    def take_conflict(self, current: StoreObject | None) -> None:
        """Take note of the object that another router wrote first.

        :param current: the object; None when it has to be read.
        """
        if current is None:
            self.forget()
        else:
            self.see(current)

    def forget(self) -> None:
        """Have the object read before it is written again."""
        self.stored = None

    def plan(self, terms: Terms) -> StoreObject:
        """Plan the next write.

        :param terms: what bounds the row.
        :returns: the object to write.
        """
        self._routers = terms.routers
        want = Want(self.pending, self._measure_spare())
        planned = self.allowance.plan_write(self.ledger, terms, want)
        revision = self.stored.revision if self.stored else 0
        spec = msgspec.to_builtins(planned)
        return StoreObject(self.workspace, revision, spec)

    def _measure_spare(self) -> int:
        if self.is_closing:
            return 0
        return max(MIN_SPARE, int(self.measure_demand() * SPARE_TIME))


def _decode_ledger(spec: Any) -> BudgetLedger:
    return msgspec.convert(spec, BudgetLedger)
