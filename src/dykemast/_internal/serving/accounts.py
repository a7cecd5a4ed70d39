"""State of the budgets that this router draws on."""

import asyncio
import math
import time
from typing import Any, Final, NamedTuple

import msgspec

from dykemast._internal.models.news import BudgetLedger
from dykemast._internal.operations.allowance import Allowance, Terms, Want
from dykemast._internal.platform.objects import StoreObject

#: Kind of the objects that hold the budgets.
BUDGET_KIND: Final = 'dykemast-budgets'
#: Seconds over which demand is averaged; about ten requests of a busy
#: workspace at one router.
DEMAND_WINDOW: Final = 5.0
#: Seconds of demand to keep spare: the longest outage of the store that the
#: users describe takes 4 to 9 s, and a router that dies loses its spare.
SPARE_TIME: Final = 5.0


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
        self.lock = asyncio.Lock()
        #: Tokens that requests are waiting for.
        self.pending = 0
        #: The object as last seen; None when it has to be read first.
        self.stored: StoreObject | None = None
        self.ledger: BudgetLedger | None = None
        self.written_at = -math.inf
        #: A hold of this size was refused, and until when that is believed.
        self.short_of = 0
        self.short_until = -math.inf
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

    def measure_spare(self) -> int:
        """Measure how many tokens should be kept spare.

        :returns: tokens.
        """
        return int(self.measure_demand() * SPARE_TIME)

    def see(self, stored: StoreObject) -> None:
        """Take note of the object as it is in the store.

        :param stored: the object; revision 0 when there is none.
        """
        self.stored = stored
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
        want = Want(self.pending, self.measure_spare())
        planned = self.allowance.plan_write(self.ledger, terms, want)
        revision = self.stored.revision if self.stored else 0
        spec = msgspec.to_builtins(planned)
        return StoreObject(self.workspace, revision, spec)


def _decode_ledger(spec: Any) -> BudgetLedger:
    return msgspec.convert(spec, BudgetLedger)
