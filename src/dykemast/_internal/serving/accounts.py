"""State of the budgets that this router draws on."""

import asyncio
import math
import time
from typing import Any, Final, NamedTuple

import msgspec

from dykemast._internal.models.budget_ledger import BudgetLedger
from dykemast._internal.operations.allowance import (
    Allowance,
    Identity,
    Terms,
    Want,
    measure_spare,
)
from dykemast._internal.operations.demand import Demand
from dykemast._internal.platform.objects import StoreObject

#: Kind of the objects that hold the budgets.
BUDGET_KIND: Final = 'dykemast-budgets'


class Hold(NamedTuple):
    """Tokens that are set aside for one request.

    :param workspace: whose budget they are of.
    :param tokens: how many.
    """

    workspace: str
    tokens: int


class Shortage(NamedTuple):
    """A hold that was refused.

    :param tokens: how many were wanted.
    :param until: seconds on the steady clock until which this is believed.
    """

    tokens: int = 0
    until: float = -math.inf


class Account:
    """One workspace's budget, as this router knows it.

    :param workspace: its name.
    :param identity: who this router is.
    """

    def __init__(self, workspace: str, identity: Identity) -> None:
        """Know nothing of the store yet."""
        self.workspace = workspace
        self.allowance = Allowance(identity)
        self.demand = Demand()
        #: Tokens that requests are waiting for.
        self.pending = 0
        #: Looks for tokens now, unless it is done.
        self.search: asyncio.Task[Any] | None = None
        self.shortage = Shortage()
        #: The object as last seen; None when it has to be read first.
        self.stored: StoreObject | None = None
        self.ledger: BudgetLedger | None = None
        self.written_at = -math.inf

    def is_short_of(self, tokens: int) -> bool:
        """Tell whether there were too few tokens a moment ago.

        :param tokens: how many are wanted.
        :returns: whether no more than now were refused.
        """
        shortage = self.shortage
        return tokens >= shortage.tokens and time.monotonic() < shortage.until

    def see(self, stored: StoreObject | None) -> None:
        """Take note of the object as it is in the store.

        :param stored: the object, with revision 0 when there is none; None
            when it has to be read before it is written again.
        """
        self.stored = stored
        if stored:
            self.ledger = _decode_ledger(stored)

    def plan(self, terms: Terms, *, spare: bool) -> StoreObject:
        """Plan the next write.

        :param terms: what bounds the row.
        :param spare: whether to keep any tokens spare.
        :returns: the object to write.
        """
        demand = self.demand.measure(time.monotonic())
        want = Want(self.pending, demand, spare)
        planned = self.allowance.plan_write(self.ledger, terms, want)
        revision = self.stored.revision if self.stored else 0
        spec = msgspec.to_builtins(planned)
        return StoreObject(self.workspace, revision, spec)

    def measure_target(self, routers: int) -> int:
        """Measure how many tokens this router should keep spare.

        :param routers: routers that share the budget.
        :returns: tokens.
        """
        if self.ledger is None:
            return 0
        others = self.allowance.list_others(self.ledger)
        demand = self.demand.measure(time.monotonic())
        unused = self.ledger.count_unused()
        return measure_spare(unused, demand, others, routers)

    def take_written(self, written: StoreObject) -> None:
        """Use what the store has confirmed.

        :param written: the object.
        """
        self.see(written)
        if self.ledger:
            self.allowance.take_written(self.ledger)


def _decode_ledger(stored: StoreObject) -> BudgetLedger | None:
    if not stored.revision:
        return None
    return msgspec.convert(stored.spec, BudgetLedger)
