"""A lease as last confirmed by the platform, and its unconfirmed intents.

An unacknowledged intent may or may not have taken effect. Until an answer
arrives, the holder uses the lower limit of both cases.
"""

import math
from typing import Final, NamedTuple

from dykemast._internal.models.budgets import BudgetAck, LeaseIntent
from dykemast._internal.operations.usage import Usage

#: Share of the target allotment below which a surplus is not returned.
RETURN_SLACK: Final = 0.1
#: Time without an answer after which only full intents are sent.
SILENCE_S: Final = 4.0
#: Time beyond the lag of the instance list in which a death is detected.
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
    """Last acknowledged state of a lease, and its unacknowledged intents.

    :param terms: settings of the lease.
    """

    def __init__(self, terms: LeaseTerms) -> None:
        """Create a lease of 0 tokens."""
        self.terms = terms
        self.seq = 0
        self.closed = False
        self.ack: BudgetAck | None = None
        self._pending: list[LeaseIntent] = []
        self.renewed_at = -math.inf
        self._unlock_at = -math.inf
        self._first_unanswered = math.inf

    def compute_limit(self, now: float) -> int:
        """Compute the upper bound of the net consumption.

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

    def choose_min_allotted(self, usage: Usage) -> int:
        """Choose the lowest allotment to accept: less if there is a surplus.

        :param usage: current consumption.
        :returns: tokens.
        """
        if self.ack is None:
            return 0
        target = max(self.ack.target, usage.count_committed() + usage.waiting)
        surplus = self.ack.allotted - target
        if surplus > (target - usage.spent) * RETURN_SLACK:
            return target
        return self.ack.allotted

    def record_intent(self, plan: LeaseIntent, now: float) -> LeaseIntent:
        """Apply the limits of a new intent and record it as pending.

        Without an answer for :data:`SILENCE_S` seconds, the intent claims the
        full allotment: a delayed write must not claim a lower armed level
        than the holder may use by then, and each partial intent postpones
        the time at which the whole allotment is usable.

        :param plan: the intent.
        :param now: seconds.
        :returns: the intent to send.
        """
        if not self._pending:
            self._first_unanswered = now
        silent = self.ack is not None and now > self._silent_from()
        if silent:
            kept = min([self.ack.allotted, *self._list_kept()])
            plan = plan._replace(min_allotted=kept, armed=kept)
        else:
            if self.ack and plan.min_allotted < self.ack.allotted:
                # Returned tokens must not stay armed.
                plan = plan._replace(armed=min(plan.armed, plan.min_allotted))
            self._unlock_at = now + self.terms.arming_delay_s
        self.seq = plan.seq
        self.renewed_at = now
        self._pending.append(plan)
        return plan

    def apply_ack(self, ack: BudgetAck, now: float) -> None:
        """Resolve all intents up to the sequence number of an answer.

        :param ack: answer to an intent of this holder.
        :param now: seconds.
        """
        if self.ack and ack.seq < self.ack.seq:
            return
        self.ack = ack
        self._pending = [plan for plan in self._pending if plan.seq > ack.seq]
        if self._pending:
            # The remaining intents are newer than the acknowledged one.
            self._first_unanswered = now

    def _silent_from(self) -> float:
        return self._first_unanswered + SILENCE_S

    def _list_kept(self) -> list[int]:
        return [plan.min_allotted for plan in self._pending]
