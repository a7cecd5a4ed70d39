"""Simulation of the lease rules: routers, one budget shard, one clock.

Only decision code of the product runs here. The simulation delivers, loses,
delays and repeats intents, kills and suspends routers, and records the two
numbers that the oracle needs: tokens paid and tokens consumed.
"""

import math
from typing import NamedTuple

from dykemast._internal.models.budgets import (
    Budget,
    BudgetAck,
    BudgetIntent,
    LeaseIntent,
    TopupIntent,
)
from dykemast._internal.operations.budget_shard import apply_intent
from dykemast._internal.operations.confirmed_lease import LeaseTerms
from dykemast._internal.operations.holder import Holder
from dykemast._internal.operations.lease_registry import Identity, LeaseRegistry
from dykemast._internal.operations.reclaim import (
    KnownProcesses,
    ReadLog,
    plan_reclaims,
)

BUDGET = 'shop/main'
TERMS = LeaseTerms(horizon_s=900, arming_delay_s=30)


class Work(NamedTuple):
    """A request that was sent to a backend server."""

    holder: Holder
    tokens: int


class Router:
    """One incarnation of a router."""

    def __init__(self, instance: str, incarnation: str) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self.lease_registry = LeaseRegistry(Identity(instance, incarnation))
        self.seen = 0
        self.work: list[Work] = []


class Shard:
    """The object of the budget shard, and its owner."""

    def __init__(self) -> None:
        self.budget = Budget()
        self.version = 1
        self.reads = ReadLog()

    def apply(self, intent: BudgetIntent) -> BudgetAck:
        base = self.version
        applied = apply_intent(self.budget, intent)
        if applied.budget is not self.budget:
            self.budget = applied.budget
            self.version += 1
        return applied.ack._replace(budget=BUDGET, version=base)


class World:
    """State of the simulation and of the oracle."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.paid = 0
        self.consumed = 0
        self.shard = Shard()
        self.gone: dict[str, float] = {}
        self.routers = [Router(f'i{number}', f'a{number}') for number in '012']

    def top_up(self, topup: str, tokens: int) -> None:
        if topup not in self.shard.budget.topups:
            self.paid += tokens
        self.shard.apply(TopupIntent(BUDGET, topup, tokens))

    def start_work(self, router: Router, tokens: int) -> bool:
        holder = router.lease_registry.get_holder(BUDGET, TERMS, self.now)
        if not holder.take_hold(tokens, self.now):
            holder.usage.waiting = tokens
            return False
        holder.usage.waiting = 0
        # From here on the backend server may consume all of it, even if the
        # router dies.
        self.consumed += tokens
        router.work.append(Work(holder, tokens))
        return True

    def end_work(self, router: Router, used: int) -> None:
        if router.work:
            work = router.work.pop(0)
            used = min(used, work.tokens)
            work.holder.usage.settle(work.tokens, used)
            self.consumed -= work.tokens - used

    def hold_all(self, router: Router) -> int:
        holder = router.lease_registry.holders.get(BUDGET)
        room = holder.count_available(self.now) if holder else 0
        if room:
            self.start_work(router, room)
        return room

    def use_all(self, router: Router) -> None:
        if self.hold_all(router):
            work = router.work.pop()
            work.holder.usage.settle(work.tokens, work.tokens)

    def renew(self, router: Router) -> None:
        for intent in self.plan(router):
            self.take(router, self.shard.apply(intent))

    def plan(self, router: Router) -> list[LeaseIntent]:
        for holder in router.lease_registry.holders.values():
            holder.lease.renewed_at = -math.inf
        return router.lease_registry.plan_renewals(
            lambda _: True, self.now, router.seen
        )

    def take(self, router: Router, ack: BudgetAck) -> None:
        router.seen = max(router.seen, ack.version)
        router.lease_registry.apply_ack(ack, self.now)

    def replace(self, number: int, *, same_instance: bool) -> None:
        """Kill a router and replace it by a new one."""
        old = self.routers[number]
        incarnation = f'{old.incarnation}x'
        instance = old.instance if same_instance else f'{old.instance}x'
        if not same_instance:
            self.gone[old.instance] = self.now
        self.routers[number] = Router(instance, incarnation)

    def read_shard(self) -> None:
        self.shard.reads.record_read(self.shard.version, self.now)

    def reclaim(self, lag: float) -> None:
        """Reclaim leases as the owner of the shard does."""
        self.read_shard()
        known_processes = KnownProcesses(
            frozenset(
                name
                for name, since in self.gone.items()
                if self.now - since >= lag
            ),
            {one.instance: one.incarnation for one in self.routers},
            self.now,
        )
        plans = plan_reclaims(
            {BUDGET: self.shard.budget},
            known_processes,
            self.shard.reads,
            TERMS.arming_delay_s,
        )
        for intent in plans:
            self.shard.apply(intent)
