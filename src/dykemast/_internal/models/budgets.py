"""Prepaid budgets, their leases, and the intents that change them."""

from typing import Final, NamedTuple

#: Top-up ids kept per budget; a repeat of an older top-up is not detected.
MAX_TOPUP_IDS: Final = 1000


class LeaseRow(NamedTuple):
    """Lease of one holder, as stored in a budget shard object.

    All counts are tokens since the holder's start. ``spent`` is net: tokens
    lent to peers are added, tokens borrowed from peers are subtracted.

    :param holder: incarnation and serial number; never reused.
    :param instance: platform id of the instance that the holder runs on.
    :param seq: number of the last intent that took effect.
    :param allotted: upper bound of the holder's net consumption.
    :param armed: part of ``allotted`` that is usable right after this write.
    :param spent: net consumption reported by the holder.
    :param rate: its recent demand, in tokens per second.
    :param seen: shard version known to the holder when it made the intent.
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

    :param paid: tokens paid for since the budget was created.
    :param closed: tokens charged for leases that have ended.
    :param in_doubt: part of ``closed`` charged without a holder's report.
    :param topups: ids of the applied top-ups, oldest first.
    :param rows: open leases by holder.
    """

    paid: int = 0
    closed: int = 0
    in_doubt: int = 0
    topups: tuple[str, ...] = ()
    rows: dict[str, LeaseRow] = {}  # noqa: RUF012 - never changed in place


class LeaseIntent(NamedTuple):
    """Request of a holder to open, change or close its lease.

    :param budget: name of the budget.
    :param holder: see :class:`LeaseRow`.
    :param instance: see :class:`LeaseRow`.
    :param seq: increases by one with each intent of a holder.
    :param min_allotted: lowest allotment that the holder accepts, as far as
        its present allotment reaches.
    :param armed: armed level that it requests.
    :param spent: net consumption until now.
    :param committed: ``spent`` plus open holds.
    :param need: tokens that waiting requests need beyond ``committed``.
    :param mean_hold_tokens: running mean of its hold sizes.
    :param rate: its recent demand, in tokens per second.
    :param horizon_s: seconds of demand that a lease should cover.
    :param seen: newest shard version known to the holder.
    :param closing: whether the lease ends; ``spent`` is then final.
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
    """Request to reclaim the lease of a holder that is confirmed dead.

    :param budget: name of the budget.
    :param holder: holder of the lease.
    :param seq: ``seq`` of the row that was checked; another one is kept.
    :param full: charge the whole allotment, not only the armed part.
    """

    budget: str
    holder: str
    seq: int
    full: bool


class TopupIntent(NamedTuple):
    """Request to add paid tokens, applied once per id.

    :param budget: name of the budget.
    :param topup: id given by the operator.
    :param tokens: tokens to add.
    """

    budget: str
    topup: str
    tokens: int


class BudgetAck(NamedTuple):
    """Answer to an intent.

    :param budget: name of the budget.
    :param holder: holder of the row; empty for a top-up.
    :param seq: number of the row's last intent; 0 when the row is gone.
    :param allotted: allotment in force, in tokens.
    :param armed: armed level in force, in tokens.
    :param target: allotment that the sizing rule computes for the holder.
    :param free: tokens of the budget in no lease.
    :param paid: tokens paid for.
    :param unspent: tokens that no holder reported as spent.
    :param version: shard version before the write; 0 if there was none.
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


#: All requests that a budget shard accepts.
BudgetIntent = LeaseIntent | ReclaimIntent | TopupIntent
