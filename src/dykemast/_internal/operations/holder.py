"""Lease of one budget at its holder: the tokens that it may consume now.

The *armed* part is usable at once; the whole *allotment* only after no write
was acknowledged for the arming delay. If the holder dies soon after a write,
only the armed part was possibly consumed.

An unacknowledged intent may or may not have taken effect. Until an answer
arrives, the holder uses the lower limit of both cases.
"""

import math
from typing import Final, NamedTuple

from dykemast._internal.models.budgets import LeaseIntent
from dykemast._internal.operations.confirmed_lease import (
    SILENCE_S,
    ConfirmedLease,
    LeaseTerms,
)
from dykemast._internal.operations.usage import Usage

#: Holds of mean size that stay armed beyond the tokens in use.
ARMED_HOLDS: Final = 4
#: Factor on the demand expected during the arming delay.
ARMED_SLACK: Final = 1.2
#: Interval between renewals, by which an armed level may be outdated.
RENEW_INTERVAL_S: Final = 2.0


def compute_margin(usage: Usage, terms: LeaseTerms, now: float) -> int:
    """Compute how many tokens are armed beyond the tokens in use.

    :param usage: current consumption.
    :param terms: settings of the lease.
    :param now: seconds.
    :returns: tokens.
    """
    delay = terms.arming_delay_s + SILENCE_S + RENEW_INTERVAL_S
    demand = usage.compute_rate(now) * delay * ARMED_SLACK
    # Bursts recur, so the recent peak of held tokens stays armed.
    burst = max(ARMED_HOLDS * usage.mean_hold_tokens, usage.compute_peak(now))
    return math.ceil(demand + burst)


class HolderId(NamedTuple):
    """Identity of the holder of a lease.

    :param budget: name of the budget.
    :param holder: incarnation and serial number; never reused.
    :param instance: platform id of the instance.
    """

    budget: str
    holder: str
    instance: str


class Holder:
    """State of one lease at its holder.

    :param owner: identity of the holder.
    :param terms: settings of the lease.
    :param now: seconds on the monotonic clock.
    """

    def __init__(self, owner: HolderId, terms: LeaseTerms, now: float) -> None:
        """Create a holder without leased tokens."""
        self.owner = owner
        self.usage = Usage(now)
        self.lease = ConfirmedLease(terms)

    def count_available(self, now: float) -> int:
        """Count the tokens that a new hold may take.

        :param now: seconds.
        :returns: tokens, at least 0.
        """
        return max(
            0, self.lease.compute_limit(now) - self.usage.count_committed()
        )

    def take_hold(self, tokens: int, now: float) -> bool:
        """Reserve tokens for one request before it is sent.

        :param tokens: upper bound of its consumption.
        :param now: seconds.
        :returns: whether enough tokens were available.
        """
        if tokens > self.count_available(now):
            return False
        self.usage.add_hold(tokens, now)
        return True

    def lend(self, tokens: int, now: float) -> int:
        """Transfer available tokens to a peer; they count as spent here.

        :param tokens: tokens requested by the peer.
        :param now: seconds.
        :returns: tokens transferred, at most half of those available.
        """
        given = min(tokens, self.count_available(now) // 2)
        self.usage.spent += given
        return given

    def borrow(self, tokens: int) -> None:
        """Add tokens that a peer has already counted as spent.

        :param tokens: number of tokens.
        """
        self.usage.spent -= tokens

    def plan_intent(self, now: float, seen: int) -> LeaseIntent:
        """Create an intent to change the lease, and apply its limits.

        :param now: seconds.
        :param seen: newest shard version known.
        :returns: the intent to send.
        """
        usage = self.usage
        committed = usage.count_committed()
        plan = LeaseIntent(
            budget=self.owner.budget,
            holder=self.owner.holder,
            instance=self.owner.instance,
            seq=self.lease.seq + 1,
            min_allotted=self.lease.choose_min_allotted(usage),
            # Tokens that requests wait for must stay armed in a renewal.
            armed=committed
            + usage.waiting
            + compute_margin(usage, self.lease.terms, now),
            spent=usage.spent,
            committed=committed,
            need=usage.waiting,
            mean_hold_tokens=math.ceil(usage.mean_hold_tokens),
            rate=usage.compute_rate(now),
            horizon_s=self.lease.terms.horizon_s,
            seen=seen,
        )
        return self.lease.record_intent(plan, now)

    def plan_close(self, now: float, seen: int) -> LeaseIntent | None:
        """Create the intent that closes the lease, if no hold is open.

        :param now: seconds.
        :param seen: newest shard version known.
        :returns: the final intent; None while holds are open.
        """
        if self.usage.held:
            return None
        plan = self.plan_intent(now, seen)
        self.lease.closed = True
        return plan._replace(closing=True, spent=self.usage.spent)
