"""State of the budgets that this router draws on."""

import asyncio
import dataclasses
from typing import Any, Final

from dykemast._internal.models.budget_ledger import BudgetLedger
from dykemast._internal.operations import ledger_rows, spare_size
from dykemast._internal.operations.allowance import Allowance
from dykemast._internal.operations.allowance_terms import (
    Identity,
    Terms,
    Usage,
    Want,
)
from dykemast._internal.operations.demand import Demand
from dykemast._internal.platform.store_types import StoreObject
from dykemast._internal.serving.tokens.holds import NEVER, Shortage
from dykemast._internal.serving.tokens.ledger_objects import (
    decode_ledger,
    encode_ledger,
)
from dykemast._internal.utils.clock import read_clock

#: Kind of the objects that hold the budgets.
BUDGET_KIND: Final = 'dykemast-budgets'
#: Seconds for which a budget without free tokens is not written again to get
#: some: others give back when their routers end, or at a new configuration.
#: It bounds the calls for one budget to one a second and router.
EMPTY_RECHECK_S: Final = 1.0


@dataclasses.dataclass
class Account:
    """One workspace's budget, as this router knows it.

    :param workspace: its name.
    :param identity: who this router is.
    :param allowance: what it may consume.
    :param demand: tokens that requests asked for.
    :param net_lent: tokens lent to other routers and not got back from them,
        by instance.
    :param pending: tokens that requests are waiting for.
    :param search: looks for tokens now, unless it is done.
    :param shortage: the smallest hold that was refused lately.
    :param stored: the object as last seen; None when it has to be read
        before it is written again.
    :param ledger: what it holds; stays when ``stored`` is forgotten.
    :param seen_at: seconds at which ``ledger`` was last seen in the store.
    :param borrowed_at: seconds at which tokens were last borrowed ahead.
    :param written_at: seconds at which it was last written, or tried to be.
    :param write_lock: held while it is written. Of two writes at once the older
        answer could come last, and be taken for the row in the store.
    """

    workspace: str
    identity: Identity
    allowance: Allowance = dataclasses.field(default_factory=Allowance)
    demand: Demand = dataclasses.field(default_factory=Demand)
    net_lent: dict[str, int] = dataclasses.field(default_factory=dict)
    pending: int = 0
    search: asyncio.Task[Any] | None = None
    shortage: Shortage = Shortage()
    stored: StoreObject | None = None
    ledger: BudgetLedger | None = None
    seen_at: float = NEVER
    borrowed_at: float = NEVER
    written_at: float = NEVER
    write_lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)

    def is_short_of(self, tokens: int) -> bool:
        """Tell whether there were too few tokens a moment ago.

        :param tokens: how many are wanted.
        :returns: whether no more than now were refused.
        """
        if read_clock() > self.shortage.until:
            return False
        return tokens >= self.shortage.tokens

    def may_get_tokens(self, terms: Terms) -> bool:
        """Tell whether a write of the row may bring any tokens.

        :param terms: what bounds the row.
        :returns: False if the store had none a moment ago.
        """
        if self.ledger is None or self.ledger.count_free() > 0:
            return True
        if self.ledger.version < terms.version:
            return True
        return read_clock() > self.written_at + EMPTY_RECHECK_S

    def end_waiting(self, tokens: int) -> None:
        """Note that a request waits no more.

        :param tokens: how many it waited for.
        """
        self.pending -= tokens

    def record_stored(self, stored: StoreObject | None) -> None:
        """Take note of the object as it is in the store.

        :param stored: the object, with revision 0 when there is none; None
            when it has to be read before it is written again.
        :raises BudgetNotUsableError: when it makes no sense; what was known
            stays, and is not written over it.
        """
        self.stored = None
        if stored:
            self.ledger = decode_ledger(stored)
            self.seen_at = read_clock()
        self.stored = stored

    def plan(self, terms: Terms, *, spare: bool) -> StoreObject:
        """Plan the next write, and obey it from now on.

        :param terms: what bounds the row.
        :param spare: whether to keep any tokens spare.
        :returns: the object to write.
        """
        demand = self.demand.compute_rate(read_clock())
        planned = ledger_rows.plan_ledger(
            self.ledger,
            self.identity,
            Usage(self.allowance.spent, max(0, self.allowance.count_charged())),
            terms,
            Want(self.pending, demand, spare),
        )
        row = planned.rows[self.identity.incarnation]
        self.allowance.lower_limit(row.limit)
        revision = self.stored.revision if self.stored else 0
        return encode_ledger(self.workspace, revision, planned)

    def apply_written(self, written: StoreObject) -> None:
        """Use what the store has confirmed.

        :param written: the object.
        """
        self.record_stored(written)
        if self.ledger:
            row = self.ledger.rows[self.identity.incarnation]
            self.allowance.confirm_limit(row.limit)

    def compute_spare_target(self, routers: int) -> int:
        """Measure how many tokens this router should keep spare.

        :param routers: routers that share the budget.
        :returns: tokens.
        """
        ledger = self.ledger
        if ledger is None or self.identity.incarnation not in ledger.rows:
            return 0
        return spare_size.compute_spare(ledger, self.identity, routers)


def take_hold(account: Account, tokens: int, reserve: int) -> bool:
    """Set tokens aside for a request.

    :param account: the budget.
    :param tokens: what it may consume at the most.
    :param reserve: tokens of the whole budget to leave for others. Kept at
        each router, they would be lost with the routers.
    :returns: whether there were as many.
    """
    if reserve and account.ledger:
        if account.ledger.count_unused() < tokens + reserve:
            return False
    return account.allowance.take_hold(tokens)


def record_loan(account: Account, borrower: str, tokens: int) -> None:
    """Note that tokens were lent to another router, or came back.

    :param account: the budget.
    :param borrower: its instance.
    :param tokens: how many; negative when they came from it.
    """
    before = account.net_lent.get(borrower, 0)
    account.net_lent[borrower] = before + tokens
