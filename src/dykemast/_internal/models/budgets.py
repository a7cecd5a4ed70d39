"""Prepaid budgets, their leases, and what routers say about them."""

from typing import Final, NamedTuple

#: Most top-up ids that a budget remembers; older repeats are not recognised.
MAX_TOPUP_IDS: Final = 1000


class LeaseRow(NamedTuple):
    """Lease of one holder, as kept in a budget shard object.

    All counts are tokens since the holder's start. ``spent`` is net: tokens
    lent to peers count as spent, tokens borrowed from peers count against.

    :param holder: incarnation and serial number; never used twice.
    :param instance: platform id of the instance that the holder runs on.
    :param seq: number of the last intent that took effect.
    :param allotted: net consumption that the holder may reach at the most.
    :param armed: net consumption that it may reach soon after this write.
    :param spent: net consumption that it reported.
    :param rate: its recent demand, in tokens a second.
    :param seen: shard version that it knew when it made the intent.
    """

    holder: str
    instance: str
    seq: int
    allotted: int
    armed: int
    spent: int
    rate: float
    seen: int


class Budget(NamedTuple):
    """One prepaid budget.

    :param paid: tokens paid for, over its life.
    :param closed: tokens charged for leases that have ended.
    :param in_doubt: part of ``closed`` charged without a holder's report.
    :param topups: ids of the top-ups that were added, oldest first.
    :param rows: open leases by holder.
    """

    paid: int = 0
    closed: int = 0
    in_doubt: int = 0
    topups: tuple[str, ...] = ()
    rows: dict[str, LeaseRow] = {}  # noqa: RUF012 - never changed in place


class LeaseIntent(NamedTuple):
    """What a holder wants its lease to become.

    :param budget: name of the budget.
    :param holder: see :class:`LeaseRow`.
    :param instance: see :class:`LeaseRow`.
    :param seq: grows by one with each new intent of a holder.
    :param min_allotted: lowest allotment that the holder accepts, as far as
        its present allotment reaches.
    :param armed: level that it wants to arm.
    :param spent: net consumption until now.
    :param committed: ``spent`` and open holds together.
    :param need: tokens that waiting requests want beyond ``committed``.
    :param mean_hold_tokens: size of its usual hold, in tokens.
    :param rate: its recent demand, in tokens a second.
    :param horizon_s: seconds of demand that a lease should cover.
    :param seen: newest shard version known to the holder.
    :param closing: whether the holder is done; ``spent`` is then final.
    """

    budget: str
    holder: str
    instance: str
    seq: int
    min_allotted: int
    armed: int
    spent: int
    committed: int
    need: int
    mean_hold_tokens: int
    rate: float
    horizon_s: float
    seen: int
    closing: bool = False


class ReclaimIntent(NamedTuple):
    """Take back the lease of a holder that is shown to be dead.

    :param budget: name of the budget.
    :param holder: whose lease.
    :param seq: the row's number on which the evidence rests.
    :param full: charge the whole allotment, not only the armed part.
    """

    budget: str
    holder: str
    seq: int
    full: bool


class TopupIntent(NamedTuple):
    """Add paid tokens, once for each id.

    :param budget: name of the budget.
    :param topup: id given by the operator.
    :param tokens: how many to add.
    """

    budget: str
    topup: str
    tokens: int


class BudgetAck(NamedTuple):
    """What an intent led to.

    :param budget: name of the budget.
    :param holder: whose row, empty for a top-up.
    :param seq: number of the row's last intent; 0 when the row is gone.
    :param allotted: allotment in force, in tokens.
    :param armed: armed level in force, in tokens.
    :param target: allotment that the sizing rule wants for the holder.
    :param free: tokens of the budget in no lease.
    :param paid: tokens paid for.
    :param unspent: tokens not reported as spent by anybody.
    :param version: shard version that stood until the write; 0 when there
        was none.
    """

    budget: str
    holder: str
    seq: int
    allotted: int
    armed: int
    target: int
    free: int
    paid: int
    unspent: int
    version: int = 0


#: Everything that can be asked of a budget shard.
BudgetIntent = LeaseIntent | ReclaimIntent | TopupIntent
