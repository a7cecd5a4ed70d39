"""A lease as the platform last confirmed it, and what is not confirmed yet.

An unacknowledged intent may or may not have taken effect, so until an
answer settles it the holder obeys the lower of both worlds.
"""

import math
from typing import Final, NamedTuple

from dykemast._internal.models.budgets import BudgetAck, LeaseIntent
from dykemast._internal.operations.usage import Usage

#: A surplus below this share of what should be held is not given back.
RETURN_SLACK: Final = 0.1
#: Seconds without an answer after which nothing partial is sent any more.
SILENCE: Final = 4.0
#: Seconds beyond the list's lag within which a death is noticed.
DEATH_DETECTION_S: Final = 10.0


class LeaseTerms(NamedTuple):
    """Settings of a lease.

    :param horizon_s: seconds of demand that a lease should cover.
    :param arming_delay_s: seconds without an acknowledged write after which
        the unarmed part of a lease may be used.
    """

    horizon_s: float = 7200.0
    arming_delay_s: float = 20.0


class ConfirmedLease:
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
        kept = [plan.min_allotted for plan in self._pending]
        return min(self.ack.allotted, *kept) if kept else self.ack.allotted

    def choose_keep(self, usage: Usage) -> int:
        """Choose the allotment to insist on: less when too much is held.

        :param usage: what is in use.
        :returns: tokens.
        """
        if self.ack is None:
            return 0
        target = max(self.ack.target, usage.count_committed() + usage.waiting)
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
            plan = plan._replace(min_allotted=kept, armed=kept)
        else:
            if self.ack and plan.min_allotted < self.ack.allotted:
                # What is given back must not stay armed.
                plan = plan._replace(armed=min(plan.armed, plan.min_allotted))
            self._unlock_at = now + self.terms.arming_delay_s
        self.seq = plan.seq
        self.renewed_at = now
        self._pending.append(plan)
        return plan

    def apply_ack(self, ack: BudgetAck, now: float) -> None:
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
        return [plan.min_allotted for plan in self._pending]
