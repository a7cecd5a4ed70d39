"""The product's way of sharing a budget, on simulated time."""

from dykemast._internal.models.budgets import Budget, TopupIntent
from dykemast._internal.operations.budget_shard import apply_intent
from dykemast._internal.operations.confirmed_lease import LeaseTerms
from dykemast._internal.operations.holder import Holder
from dykemast._internal.operations.lease_registry import Identity, LeaseRegistry
from tools.simulation.model import ROUTERS, Sharing, World

_BUDGET = 'shop/main'
#: Times the wanted tokens that a router borrows, as the product does.
_AHEAD = 4


def share_leases(world: World) -> Sharing:
    """Share by the product's leases, with lending.

    :param world: clock and net.
    :returns: the way of sharing.
    """
    leased = LeasedBudget(world)
    return Sharing(leased.take, leased.settle, leased.tick)


class LeasedBudget:
    """One budget shard and the routers that lease from it.

    :param world: clock and net.
    """

    def __init__(self, world: World) -> None:
        """Start with the tokens paid and nothing leased."""
        self.world = world
        self.version = 1
        topup = TopupIntent(_BUDGET, 'first', world.paid)
        self.budget = apply_intent(Budget(), topup).budget
        self.books = [
            LeaseRegistry(Identity(f'i{number}', f'a{number}'))
            for number in range(ROUTERS)
        ]

    def take(self, router: int, tokens: int, now: float) -> bool:
        """Reserve tokens, with a renewal or a loan where it takes one.

        :param router: which router.
        :param tokens: how many.
        :param now: seconds.
        :returns: whether it could.
        """
        holder = self.find(router, now)
        if holder.take_hold(tokens, now):
            return True
        if self.world.net.platform:
            holder.usage.wait(tokens)
            self.tick(router, now)
            holder.usage.wait(-tokens)
        else:
            self.borrow(router, tokens, now)
        return holder.take_hold(tokens, now)

    def settle(self, router: int, held: int, used: int) -> None:
        """End a request.

        :param router: which router.
        :param held: tokens reserved.
        :param used: tokens consumed.
        """
        holder = self.find(router, self.world.now)
        holder.usage.settle(held, used)

    def tick(self, router: int, now: float) -> None:
        """Renew what is due.

        :param router: which router.
        :param now: seconds.
        """
        lease_registry = self.books[router]
        plans = lease_registry.plan_renewals(lambda _: True, now, self.version)
        if not plans or not self.world.net.platform:
            return
        self.world.writes += 1
        for plan in plans:
            applied = apply_intent(self.budget, plan)
            self.budget = applied.budget
            ack = applied.ack._replace(budget=_BUDGET, version=self.version)
            self.version += 1
            lease_registry.apply_ack(ack, now)

    def borrow(self, router: int, tokens: int, now: float) -> None:
        """Borrow from the routers that can be reached.

        :param router: which router.
        :param tokens: how many it needs.
        :param now: seconds.
        """
        holder = self.find(router, now)
        for other in range(ROUTERS):
            if other != router and self.world.reaches(router, other):
                lender = self.find(other, now)
                holder.borrow(lender.lend(tokens * _AHEAD, now))
            if holder.count_available(now) >= tokens:
                return

    def find(self, router: int, now: float) -> Holder:
        """Find a router's lease.

        :param router: which router.
        :param now: seconds.
        :returns: the lease.
        """
        return self.books[router].get_holder(_BUDGET, LeaseTerms(), now)
