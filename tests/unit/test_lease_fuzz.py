"""No overspend of leased budgets with any combination of faults.

Messages are lost, delayed or repeated; routers are suspended or killed. The
oracle knows two numbers: tokens paid, and tokens that the backend servers may
have consumed.
"""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from dykemast._internal.operations.budget_counts import is_within_paid
from tests.lib.lease_world import BUDGET, World

ROUTERS = st.integers(0, 2)
WAITS = st.sampled_from([0, 9, 40])
TOKENS = st.integers(1, 400)


class LeaseMachine(RuleBasedStateMachine):
    """Faults in any order and combination."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World()
        self.late_intents = []
        self.suspended = set()

    @initialize(tokens=st.integers(500, 5000))
    def lease_out(self, tokens) -> None:
        """Start with demand and a lease at each router."""
        self.world.top_up('t0', tokens)
        for router in self.world.routers * 2:
            self.world.start_work(router, 10)
            self.world.renew(router)
            self.world.end_work(router, 10)
            self.world.now += 1

    @rule(number=st.integers(0, 5), tokens=st.integers(1, 3000))
    def top_up(self, number, tokens) -> None:
        self.world.top_up(f't{number}', tokens)

    @rule(number=ROUTERS, tokens=TOKENS)
    def start_work(self, number, tokens) -> None:
        if number not in self.suspended:
            self.world.start_work(self.world.routers[number], tokens)

    @rule(number=ROUTERS)
    def use_all(self, number) -> None:
        """Consume all available tokens."""
        if number not in self.suspended:
            self.world.use_all(self.world.routers[number])

    @rule(number=ROUTERS)
    def hold_all(self, number) -> None:
        """Hold all available tokens several times, without responses."""
        for _ in range(3 * (number not in self.suspended)):
            self.world.hold_all(self.world.routers[number])

    @rule(number=ROUTERS, used=st.integers(0, 400))
    def end_work(self, number, used) -> None:
        if number not in self.suspended:
            self.world.end_work(self.world.routers[number], used)

    @rule(seconds=st.sampled_from([1, 5]))
    def live(self, seconds) -> None:
        """Operate without faults: the owner reads, all routers renew."""
        for _ in range(3):
            self.world.read_shard()
            for number in sorted({0, 1, 2} - self.suspended):
                self.world.renew(self.world.routers[number])
        self.world.now += seconds

    @rule(number=ROUTERS)
    def renew(self, number) -> None:
        if number not in self.suspended:
            self.world.renew(self.world.routers[number])

    @rule(number=ROUTERS)
    def renew_without_answer(self, number) -> None:
        if number not in self.suspended:
            for intent in self.world.plan(self.world.routers[number]):
                self.world.shard.apply(intent)

    @rule(number=ROUTERS)
    def post(self, number) -> None:
        """Send intents that arrive late or never."""
        if number not in self.suspended:
            self.late_intents.extend(
                self.world.plan(self.world.routers[number])
            )

    @rule(place=st.integers(0, 20), twice=st.booleans())
    def deliver(self, place, twice) -> None:
        if self.late_intents:
            place %= len(self.late_intents)
            self.world.shard.apply(self.late_intents[place])
            if not twice:
                self.late_intents.pop(place)

    @rule(number=ROUTERS, same=st.booleans(), wait=WAITS)
    def kill(self, number, same, wait) -> None:
        self.suspended.discard(number)
        self.world.replace(number, same_instance=same)
        self.world.now += wait
        self.world.reclaim(0)

    @rule(number=ROUTERS)
    def suspend_or_resume(self, number) -> None:
        self.suspended ^= {number}

    @rule(giver=ROUTERS, taker=ROUTERS, tokens=TOKENS, lost=st.booleans())
    def lend(self, giver, taker, tokens, lost) -> None:
        if giver != taker and not self.suspended & {giver, taker}:
            world = self.world
            lender = world.routers[giver].lease_registry.holders.get(BUDGET)
            borrower = world.routers[taker].lease_registry.holders.get(BUDGET)
            if lender and borrower:
                given = lender.lend(tokens, world.now)
                borrower.borrow(0 if lost else given)

    @rule(seconds=st.sampled_from([0.3, 2, 10, 16, 31, 400]))
    def pass_time(self, seconds) -> None:
        self.world.now += seconds

    @rule()
    def read_shard(self) -> None:
        self.world.read_shard()

    @rule(lag=st.sampled_from([0, 5]))
    def reclaim(self, lag) -> None:
        self.world.reclaim(lag)

    def teardown(self) -> None:
        """Consume all tokens, to detect those that were leased twice."""
        for _ in range(4):
            self.use_everything(31)
            self.is_never_overspent()

    @rule(seconds=st.sampled_from([0, 3, 31]))
    def use_everything(self, seconds) -> None:
        world = self.world
        for number in (0, 1, 2):
            if number not in self.suspended:
                world.use_all(world.routers[number])
                world.renew(world.routers[number])
        world.now += seconds

    @invariant()
    def is_never_overspent(self) -> None:
        world = self.world
        assert world.consumed <= world.paid, 'overspent'
        assert is_within_paid(world.shard.budget), 'overleased'


LeaseCase = LeaseMachine.TestCase
