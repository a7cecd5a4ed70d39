"""Lease of one budget as its holder sees it: what may be consumed now.

Three bounds nest: what is *armed* may be used at once; the whole
*allotment* only after the platform has been silent for the arming delay.
If the holder dies soon after a write, only the armed part is in doubt.

An unacknowledged intent may or may not have taken effect, so until an
answer settles it the holder obeys the lower of both worlds.
"""

import math
from typing import Final, NamedTuple

from dykemast._internal.models.budgets import LeaseIntent
from dykemast._internal.operations.confirmed_lease import (
    SILENCE,
    ConfirmedLease,
    LeaseTerms,
)
from dykemast._internal.operations.usage import Usage

#: Usual holds that stay armed ahead of what is in use.
ARMED_HOLDS: Final = 4
#: Demand that stays armed ahead, over what the arming delay should need.
ARMED_SLACK: Final = 1.2
#: Seconds between two renewals, by which an armed level may be old.
RENEW_INTERVAL: Final = 2.0


def find_margin(usage: Usage, terms: LeaseTerms, now: float) -> int:
    """Find how far ahead of the usage a lease is armed.

    :param usage: what is consumed.
    :param terms: settings of the lease.
    :param now: seconds.
    :returns: tokens.
    """
    delay = terms.arming_delay_s + SILENCE + RENEW_INTERVAL
    demand = usage.find_rate(now) * delay * ARMED_SLACK
    # Bursts come again: what was held at once is kept ready for a while.
    burst = max(ARMED_HOLDS * usage.mean_hold_tokens, usage.find_peak(now))
    return math.ceil(demand + burst)


class HolderId(NamedTuple):
    """Who holds a lease.

    :param budget: name of the budget.
    :param holder: incarnation and serial number; never used twice.
    :param instance: platform id of the instance.
    """

    budget: str
    holder: str
    instance: str


class Holder:
    """State of one lease at its holder.

    :param owner: who holds it.
    :param terms: its settings.
    :param now: seconds on a clock that never goes back.
    """

    def __init__(self, owner: HolderId, terms: LeaseTerms, now: float) -> None:
        """Start with nothing leased."""
        self.owner = owner
        self.usage = Usage(now)
        self.lease = ConfirmedLease(terms)

    def count_available(self, now: float) -> int:
        """Count the tokens that a hold may take now.

        :param now: seconds.
        :returns: tokens, at least 0.
        """
        return max(0, self.lease.find_limit(now) - self.usage.count_committed())

    def take_hold(self, tokens: int, now: float) -> bool:
        """Reserve tokens for one request before it is sent.

        :param tokens: upper bound of what the request can consume.
        :param now: seconds.
        :returns: whether there was room.
        """
        if tokens > self.count_available(now):
            return False
        self.usage.add_hold(tokens, now)
        return True

    def lend(self, tokens: int, now: float) -> int:
        """Give room away to a peer; it counts as spent here.

        :param tokens: how many the peer wants.
        :param now: seconds.
        :returns: how many it gets.
        """
        given = min(tokens, self.count_available(now) // 2)
        self.usage.spent += given
        return given

    def borrow(self, tokens: int) -> None:
        """Take in tokens that a peer has already counted as spent.

        :param tokens: how many.
        """
        self.usage.spent -= tokens

    def plan_intent(self, now: float, seen: int) -> LeaseIntent:
        """Say what the lease should become, and obey it from now on.

        :param now: seconds.
        :param seen: newest shard version known.
        :returns: the intent to be sent.
        """
        usage = self.usage
        committed = usage.count_committed()
        plan = LeaseIntent(
            budget=self.owner.budget,
            holder=self.owner.holder,
            instance=self.owner.instance,
            seq=self.lease.seq + 1,
            min_allotted=self.lease.choose_keep(usage),
            # What waits is about to be used: a renewal must not disarm it.
            armed=committed
            + usage.waiting
            + find_margin(usage, self.lease.terms, now),
            spent=usage.spent,
            committed=committed,
            need=usage.waiting,
            mean_hold_tokens=math.ceil(usage.mean_hold_tokens),
            rate=usage.find_rate(now),
            horizon_s=self.lease.terms.horizon_s,
            seen=seen,
        )
        return self.lease.note_intent(plan, now)

    def plan_close(self, now: float, seen: int) -> LeaseIntent | None:
        """Give the whole lease back, if nothing is in use.

        :param now: seconds.
        :param seen: newest shard version known.
        :returns: the final intent, or nothing while holds are open.
        """
        if self.usage.held:
            return None
        plan = self.plan_intent(now, seen)
        self.lease.closed = True
        return plan._replace(closing=True, spent=self.usage.spent)
