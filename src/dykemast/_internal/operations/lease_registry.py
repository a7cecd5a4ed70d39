"""Leases of one router by budget, and the intents to send for them."""

from collections.abc import Callable
from typing import NamedTuple

from dykemast._internal.models.budgets import BudgetAck, LeaseIntent
from dykemast._internal.operations.lease_renewal import is_due, is_idle
from dykemast._internal.operations.confirmed_lease import LeaseTerms
from dykemast._internal.operations.holder import Holder, HolderId


class Identity(NamedTuple):
    """Router process that holds the leases.

    :param instance: platform id of the instance.
    :param incarnation: random id of the process.
    """

    instance: str
    incarnation: str


class LeaseRegistry:
    """Holders of one router by budget.

    :param identity: the router process.
    """

    def __init__(self, identity: Identity) -> None:
        """Create a registry without leases."""
        self.holders: dict[str, Holder] = {}
        self._identity = identity
        self._serial = 0
        self._closing: dict[str, LeaseIntent] = {}

    def get_holder(
        self,
        budget: str,
        terms: LeaseTerms,
        now: float,
    ) -> Holder:
        """Get the holder of a budget, or create one.

        :param budget: name of the budget.
        :param terms: settings of a new lease.
        :param now: seconds.
        :returns: the holder; never one whose lease is being closed.
        """
        holder = self.holders.get(budget)
        if holder is None or holder.lease.closed:
            self._serial += 1
            incarnation = self._identity.incarnation
            serial = f'{incarnation}/{self._serial}'
            owner = HolderId(budget, serial, self._identity.instance)
            holder = Holder(owner, terms, now)
            self.holders[budget] = holder
        return holder

    def plan_renewals(
        self,
        belongs: Callable[[str], bool],
        now: float,
        seen: int,
    ) -> list[LeaseIntent]:
        """Create the intents to send to one shard now.

        :param belongs: whether a budget belongs to the shard.
        :param now: seconds.
        :param seen: newest known version of that shard.
        :returns: intents, including unacknowledged closing ones.
        """
        plans = [
            plan for plan in self._closing.values() if belongs(plan.budget)
        ]
        for budget, holder in list(self.holders.items()):
            if belongs(budget) and not holder.lease.closed:
                plans.extend(self._plan_holder(holder, now, seen))
        return plans

    def apply_ack(self, ack: BudgetAck, now: float) -> None:
        """Apply the answer to an intent.

        :param ack: the answer.
        :param now: seconds.
        """
        if ack.seq == 0:
            self._closing.pop(ack.holder, None)
        holder = self.holders.get(ack.budget)
        if holder is None or holder.owner.holder != ack.holder:
            return
        if ack.seq == 0:
            # The row is gone: the lease was closed or reclaimed.
            holder.lease.closed = True
            self.holders.pop(ack.budget)
            return
        holder.lease.apply_ack(ack, now)

    def close_all(self, now: float, seen: int) -> None:
        """Start to close all leases without open holds.

        :param now: seconds.
        :param seen: newest shard version known; 0 is always valid.
        """
        for holder in list(self.holders.values()):
            self._start_close(holder, now, seen)

    def _plan_holder(
        self,
        holder: Holder,
        now: float,
        seen: int,
    ) -> list[LeaseIntent]:
        if is_idle(holder, now):
            closing = self._start_close(holder, now, seen)
            return [closing] if closing else []
        if not is_due(holder, now):
            return []
        return [holder.plan_intent(now, seen)]

    def _start_close(
        self,
        holder: Holder,
        now: float,
        seen: int,
    ) -> LeaseIntent | None:
        plan = holder.plan_close(now, seen)
        if plan:
            self._closing[holder.owner.holder] = plan
            self.holders.pop(holder.owner.budget, None)
        return plan
