"""State of the budgets that this router uses."""

import asyncio
import dataclasses
from collections.abc import Set
from typing import Any, Final, NamedTuple

from dykemast._internal.models.budget_ledger import BudgetLedger
from dykemast._internal.operations import (
    ledger_eras,
    ledger_rows,
    spare_size,
)
from dykemast._internal.operations.allowance import Allowance, LoanTotals
from dykemast._internal.operations.allowance_terms import (
    Identity,
    Terms,
    Usage,
    TokenRequest,
)
from dykemast._internal.operations.demand import Demand
from dykemast._internal.platform.store_types import StoreObject
from dykemast._internal.serving.tokens.ledger_objects import (
    decode_ledger,
    encode_ledger,
)
from dykemast._internal.utils.clock import read_clock

#: Kind of the store objects of budgets.
BUDGET_KIND: Final = 'dykemast-budgets'
#: Interval between writes that request tokens of a budget without free ones,
#: which bounds the calls per budget and router. Tokens become free when other
#: routers end, or with a new configuration.
EMPTY_RECHECK_S: Final = 1.0
#: Time that a request waits for tokens: one write to a slow store. A longer
#: search mostly ends in a refusal, which then costs the caller more.
HOLD_TIMEOUT_S: Final = 0.18
#: Earlier than any time of the monotonic clock.
NEVER: Final = float('-inf')


class Hold(NamedTuple):
    """Tokens reserved for one request.

    :param workspace: workspace of the budget.
    :param tokens: number of tokens.
    """

    workspace: str
    tokens: int


class Shortage(NamedTuple):
    """A hold that was refused.

    :param tokens: number of tokens requested.
    :param until: time on the monotonic clock until which this is valid.
    """

    tokens: int = 0
    until: float = NEVER


@dataclasses.dataclass
class Account:
    """Cached state of one workspace's budget at this router.

    :param workspace: name of the workspace.
    :param identity: this router.
    :param allowance: tokens that this router may consume.
    :param demand: tokens requested.
    :param totals: totals of its loans.
    :param loans: requests for loans that are not answered yet, by incarnation
        of the lender.
    :param net_lent: tokens lent to other routers less those returned, by
        instance.
    :param pending: tokens that requests are waiting for.
    :param search: the latest search for tokens, which may be done.
    :param shortage: the smallest hold that was refused recently.
    :param stored: the object as last read; None if it has to be read before
        the next write.
    :param known: what is known of its content; kept when ``stored`` is reset.
    :param seen_at: time at which the content was last read or confirmed.
    :param earlier_at: time of the last read in earlier eras.
    :param borrowed_at: time at which tokens were last borrowed in advance.
    :param written_at: time of the last attempt to write.
    :param asked: instance that was last asked for tokens as the owner.
    :param asked_at: time of that.
    :param owner_cut_off_at: time at which the owner last said that the store
        does not answer; ``NEVER`` once it answers.
    :param answer_s: seconds that the last answer to a request for a loan took.
    :param received_at: time at which a loan last brought tokens.
    :param write_lock: serializes writes of it. Of two concurrent writes, the
        answer to the older one could arrive last and be taken for the row in
        the store.
    """

    workspace: str
    identity: Identity
    allowance: Allowance = dataclasses.field(default_factory=Allowance)
    demand: Demand = dataclasses.field(default_factory=Demand)
    totals: LoanTotals = dataclasses.field(default_factory=LoanTotals)
    loans: dict[str, asyncio.Task[bool]] = dataclasses.field(
        default_factory=dict
    )
    net_lent: dict[str, int] = dataclasses.field(default_factory=dict)
    pending: int = 0
    search: asyncio.Task[Any] | None = None
    shortage: Shortage = Shortage()
    stored: StoreObject | None = None
    known: ledger_eras.Knowledge = ledger_eras.Knowledge()
    seen_at: float = NEVER
    earlier_at: float = NEVER
    borrowed_at: float = NEVER
    written_at: float = NEVER
    asked: str = ''
    asked_at: float = NEVER
    owner_cut_off_at: float = NEVER
    answer_s: float = 0
    received_at: float = NEVER
    write_lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)

    @property
    def ledger(self) -> BudgetLedger | None:
        """Content of the budget as far as it is known."""
        return self.known.ledger

    def is_short_of(self, tokens: int) -> bool:
        """Check whether a hold of this size was refused recently.

        :param tokens: number of tokens requested.
        :returns: whether as many or fewer were refused.
        """
        if read_clock() > self.shortage.until:
            return False
        return tokens >= self.shortage.tokens

    def may_get_tokens(self, terms: Terms) -> bool:
        """Check whether a write of the row may bring any tokens.

        :param terms: bounds of the row.
        :returns: False if the store recently had no free tokens.
        """
        if not may_grant(self, terms):
            return self.known.is_newer
        if self.ledger is None or self.ledger.count_free() > 0:
            return True
        if self.ledger.version < terms.version:
            return True
        return read_clock() > self.written_at + EMPTY_RECHECK_S

    def record_stored(
        self,
        stored: StoreObject | None,
        latest: Set[str] = ledger_eras.NO_INCARNATIONS,
    ) -> None:
        """Record the object as it is in the store.

        :param stored: the object, with revision 0 if there is none; None if
            it has to be read before the next write.
        :param latest: latest known incarnation of each instance.
        :raises InvalidBudgetError: if it is invalid; the cached ledger
            stays and does not overwrite the object.
        """
        self.stored = None
        if stored and stored.era < self.known.era:
            # Another answer has shown meanwhile that the store returned.
            return
        if stored:
            found = decode_ledger(stored)
            if stored.era > self.known.era:
                self.earlier_at = self.seen_at
            self.known = ledger_eras.learn_ledger(
                self.known, found, stored.era, latest
            )
            self.seen_at = read_clock()
        self.stored = stored

    def plan(self, terms: Terms, *, spare: bool) -> StoreObject:
        """Create the object of the next write, and apply its limit.

        :param terms: bounds of the row.
        :param spare: whether to keep spare tokens.
        :returns: the object to write.
        """
        demand = self.demand.compute_rate(read_clock())
        planned = ledger_rows.plan_ledger(
            self.ledger,
            self.identity,
            Usage(
                self.allowance.spent,
                max(0, self.allowance.count_charged()),
                self.allowance.limit,
            ),
            terms,
            TokenRequest(self.pending, demand, spare),
        )
        row = planned.rows[self.identity.incarnation]
        self.allowance.lower_limit(row.limit)
        revision = self.stored.revision if self.stored else 0
        return encode_ledger(self.workspace, revision, planned)

    def apply_written(
        self,
        written: StoreObject,
        latest: Set[str] = ledger_eras.NO_INCARNATIONS,
    ) -> None:
        """Apply the row that the store has confirmed.

        :param written: the object.
        :param latest: latest known incarnation of each instance.
        """
        ledger = decode_ledger(written)
        if ledger is None or written.era < self.known.era:
            self.stored = None
            return
        name = self.identity.incarnation
        row = ledger.rows[name]
        self.known = ledger_eras.confirm_row(self.known, name, row)
        self.record_stored(written, latest)
        self.allowance.confirm_limit(row.limit)

    def compute_spare_target(self, routers: int) -> int:
        """Compute how many tokens this router should keep spare.

        :param routers: number of routers that share the budget.
        :returns: tokens.
        """
        ledger = self.ledger
        if ledger is None or self.identity.incarnation not in ledger.rows:
            return 0
        return spare_size.compute_spare(ledger, self.identity, routers)


def take_hold(account: Account, tokens: int, reserve: int) -> bool:
    """Reserve tokens for a request.

    :param account: the budget.
    :param tokens: upper bound of its consumption.
    :param reserve: tokens of the whole budget to leave for others. A reserve
        at each router would be lost with the routers.
    :returns: whether enough tokens were available.
    """
    if reserve and account.ledger:
        if account.ledger.count_unused() < tokens + reserve:
            return False
    return account.allowance.take_hold(tokens)


def record_loan(account: Account, borrower: str, tokens: int) -> None:
    """Record that tokens were lent to another router, or returned by it.

    :param account: the budget.
    :param borrower: its instance.
    :param tokens: number of tokens; negative when received from it.
    """
    before = account.net_lent.get(borrower, 0)
    account.net_lent[borrower] = before + tokens


def may_grant(account: Account, terms: Terms) -> bool:
    """Check whether a write of a row may assign free tokens to it.

    :param account: the budget.
    :param terms: bounds of the row.
    :returns: False for a copy that is not to be settled yet.
    """
    if terms.era.may_settle or account.known.era < terms.era.number:
        return True
    if account.ledger is None:
        return terms.era.is_first
    return account.known.is_settled()


def is_restated(account: Account, terms: Terms) -> bool:
    """Check whether the store has what this router knows of a budget.

    :param account: the budget.
    :param terms: bounds of the row.
    :returns: False too if this router should settle the budget.
    """
    if account.known.is_newer:
        return False
    if terms.era.may_settle and not account.known.is_settled():
        return False
    rows = account.ledger.rows if account.ledger else {}
    row = rows.get(account.identity.incarnation)
    written = row.limit if row else 0
    allowance = account.allowance
    return written == max(allowance.limit, allowance.count_charged(), 0)
