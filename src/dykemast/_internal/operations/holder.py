"""Lease of one budget as its holder sees it: what may be consumed now.

Three bounds nest: what is *armed* may be used at once; the whole
*allotment* only after the platform has been silent for the arming delay.
If the holder dies soon after a write, only the armed part is in doubt.

An unacknowledged intent may or may not have taken effect, so until an
answer settles it the holder obeys the lower of both worlds.
"""

import math
from typing import Final, NamedTuple

from dykemast._internal.models.budgets import BudgetAck, LeaseIntent

#: Seconds over which demand is averaged.
RATE_WINDOW: Final = 60.0
#: Usual holds that stay armed ahead of what is in use.
ARMED_HOLDS: Final = 4
#: Demand that stays armed ahead, over what the arming delay should need.
ARMED_SLACK: Final = 1.2
#: Seconds without an answer after which nothing partial is sent any more.
SILENCE: Final = 4.0
#: Seconds between two renewals, by which an armed level may be old.
RENEW_INTERVAL: Final = 2.0
#: Weight of a new hold in the running mean of hold sizes.
GRAIN_WEIGHT: Final = 0.1
#: A surplus below this share of what should be held is not given back.
RETURN_SLACK: Final = 0.1


#: Seconds beyond the list's lag within which a death is noticed.
DETECTION_TIME: Final = 10.0


class LeaseTerms(NamedTuple):
    """Settings of a lease.

    :param horizon: seconds of demand that a lease should cover.
    :param arming_delay: seconds without an acknowledged write after which
        the unarmed part of a lease may be used.
    """

    horizon: float = 900.0
    arming_delay: float = 20.0


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
        self.lease = Confirmed(terms)

    def count_room(self, now: float) -> int:
        """Count the tokens that a hold may take now.

        :param now: seconds.
        :returns: tokens, at least 0.
        """
        return max(0, self.lease.find_limit(now) - self.usage.count_floor())

    def take_hold(self, tokens: int, now: float) -> bool:
        """Reserve tokens for one request before it is sent.

        :param tokens: upper bound of what the request can consume.
        :param now: seconds.
        :returns: whether there was room.
        """
        if tokens > self.count_room(now):
            return False
        self.usage.add_hold(tokens, now)
        return True

    def lend(self, tokens: int, now: float) -> int:
        """Give room away to a peer; it counts as spent here.

        :param tokens: how many the peer wants.
        :param now: seconds.
        :returns: how many it gets.
        """
        given = min(tokens, self.count_room(now) // 2)
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
        floor = usage.count_floor()
        plan = LeaseIntent(
            budget=self.owner.budget,
            holder=self.owner.holder,
            instance=self.owner.instance,
            seq=self.lease.seq + 1,
            keep=self.lease.choose_keep(usage),
            # What waits is about to be used: a renewal must not disarm it.
            armed=floor
            + usage.waiting
            + usage.find_margin(now, self.lease.terms),
            spent=usage.spent,
            floor=floor,
            need=usage.waiting,
            grain=math.ceil(usage.grain),
            rate=usage.find_rate(now),
            horizon=self.lease.terms.horizon,
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


class Usage:
    """What a holder consumes.

    :param now: seconds.
    """

    def __init__(self, now: float) -> None:
        """Start with nothing consumed."""
        self.spent = 0
        self.held = 0
        self.waiting = 0
        self.grain = float(0)
        self._rate = float(0)
        self.touched = now

    def count_floor(self) -> int:
        """Count what is consumed or may still be.

        :returns: net tokens.
        """
        return self.spent + self.held

    def add_hold(self, tokens: int, now: float) -> None:
        """Reserve tokens.

        :param tokens: how many.
        :param now: seconds.
        """
        self.held += tokens
        first = self.grain == 0
        weight = 1.0 if first else GRAIN_WEIGHT
        self.grain += (tokens - self.grain) * weight
        self._rate = self.find_rate(now) + tokens / RATE_WINDOW
        self.touched = now

    def wait(self, tokens: int) -> None:
        """Note that a request waits for room, or no longer does.

        :param tokens: how many; below 0 when it no longer waits.
        """
        self.waiting += tokens

    def settle(self, held: int, used: int) -> None:
        """Turn a hold into consumption.

        :param held: tokens reserved before.
        :param used: tokens consumed; the rest is free again.
        """
        self.held -= held
        self.spent += used
        # Demand is what is consumed; a cap that was not used is not demand.
        self._rate = max(0, self._rate - (held - used) / RATE_WINDOW)

    def find_rate(self, now: float) -> float:
        """Find the recent demand.

        :param now: seconds.
        :returns: tokens a second.
        """
        age = max(0, now - self.touched)
        return self._rate * math.exp(-age / RATE_WINDOW)

    def find_margin(self, now: float, terms: LeaseTerms) -> int:
        """Find how far ahead of the usage the lease is armed.

        :param now: seconds.
        :param terms: settings of the lease.
        :returns: tokens.
        """
        delay = terms.arming_delay + SILENCE + RENEW_INTERVAL
        demand = self.find_rate(now) * delay * ARMED_SLACK
        return math.ceil(demand + ARMED_HOLDS * self.grain)


class Confirmed:
    """Lease as last acknowledged, and intents that are not.

    :param terms: settings of the lease.
    """

    def __init__(self, terms: LeaseTerms) -> None:
        """Start with nothing leased."""
        self.terms = terms
        self.seq = 0
        self.closed = False
        self.ack: BudgetAck | None = None
        self._pending: list[LeaseIntent] = []
        self.renewed_at = -math.inf
        self._unlock_at = -math.inf
        self._first_unanswered = math.inf

    def find_limit(self, now: float) -> int:
        """Find the net consumption that may be reached now.

        :param now: seconds.
        :returns: tokens.
        """
        if self.closed or self.ack is None:
            return 0
        if now < self._unlock_at:
            armed = [plan.armed for plan in self._pending]
            return min(self.ack.armed, *armed) if armed else self.ack.armed
        kept = [plan.keep for plan in self._pending]
        return min(self.ack.allotted, *kept) if kept else self.ack.allotted

    def choose_keep(self, usage: Usage) -> int:
        """Choose the allotment to insist on: less when too much is held.

        :param usage: what is in use.
        :returns: tokens.
        """
        if self.ack is None:
            return 0
        target = max(self.ack.target, usage.count_floor() + usage.waiting)
        surplus = self.ack.allotted - target
        if surplus > (target - usage.spent) * RETURN_SLACK:
            return target
        return self.ack.allotted

    def note_intent(self, plan: LeaseIntent, now: float) -> LeaseIntent:
        """Obey an intent from the moment it is made.

        After some silence nothing partial is sent any more: a late write
        must not claim that less is in doubt than the holder may by then be
        using, and each partial intent puts that moment off.

        :param plan: the intent.
        :param now: seconds.
        :returns: the intent as it is to be sent.
        """
        if not self._pending:
            self._first_unanswered = now
        silent = self.ack is not None and now > self._silent_from()
        if silent:
            kept = min([self.ack.allotted, *self._list_kept()])
            plan = plan._replace(keep=kept, armed=kept)
        else:
            if self.ack and plan.keep < self.ack.allotted:
                # What is given back must not stay armed.
                plan = plan._replace(armed=min(plan.armed, plan.keep))
            self._unlock_at = now + self.terms.arming_delay
        self.seq = plan.seq
        self.renewed_at = now
        self._pending.append(plan)
        return plan

    def take_ack(self, ack: BudgetAck, now: float) -> None:
        """Settle all intents up to an answer's number.

        :param ack: answer to an intent of this holder.
        :param now: seconds.
        """
        if self.ack and ack.seq < self.ack.seq:
            return
        self.ack = ack
        self._pending = [plan for plan in self._pending if plan.seq > ack.seq]
        if self._pending:
            # What is still open is newer than what was just answered.
            self._first_unanswered = now

    def _silent_from(self) -> float:
        return self._first_unanswered + SILENCE

    def _list_kept(self) -> list[int]:
        return [plan.keep for plan in self._pending]
