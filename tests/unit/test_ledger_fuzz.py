"""No overspend of a budget in the object store with any faults.

Writes are lost, delayed and reordered; routers are suspended, killed and
restarted, lend to each other, and learn late of a changed budget.
"""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from dykemast._internal.operations.spare_size import LOSS_SHARE
from tests.lib.ledger_world import Copy, World

ROUTERS = st.integers(0, 2)
TOKENS = st.integers(1, 400)
#: Tokens that few requests use up.
RETURN_PREPAID = 1000
LARGE_TOKENS = st.integers(1, RETURN_PREPAID)
#: Tokens a second; idle and hot.
DEMAND = st.sampled_from((0, 100, 4000))


class LedgerMachine(RuleBasedStateMachine):
    """Faults in any order and combination."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World(1000)

    @initialize(prepaid=st.integers(500, 5000))
    def begin(self, prepaid) -> None:
        self.world = World(prepaid)

    @rule(number=ROUTERS, tokens=TOKENS)
    def hold(self, number, tokens) -> None:
        self.world.hold(self.world.routers[number], tokens)

    @rule(number=ROUTERS)
    def hold_all(self, number) -> None:
        """Hold all available tokens."""
        router = self.world.routers[number]
        self.world.hold(router, max(0, router.allowance.count_available()))

    @rule(number=ROUTERS, used=st.integers(0, 400))
    def settle(self, number, used) -> None:
        self.world.settle(self.world.routers[number], used)

    @rule(number=ROUTERS)
    def read(self, number) -> None:
        self.world.read(self.world.routers[number])

    @rule(number=ROUTERS, pending=TOKENS, spare=st.booleans(), demand=DEMAND)
    def write(self, number, pending, spare, demand) -> None:
        """Write based on the last read; a conflict returns the object."""
        router = self.world.routers[number]
        write = self.world.plan(router, pending, spare=spare, demand=demand)
        if self.world.apply(write):
            self.world.confirm(router)
        else:
            self.world.read(router)

    @rule(number=ROUTERS, pending=TOKENS, applied=st.booleans())
    def write_without_answer(self, number, pending, applied) -> None:
        router = self.world.routers[number]
        write = self.world.plan(router, pending, spare=True)
        if applied:
            self.world.apply(write)
        else:
            self.world.late.append(write)

    @rule(place=st.integers(0, 20))
    def deliver_late(self, place) -> None:
        if self.world.late:
            place %= len(self.world.late)
            self.world.apply(self.world.late.pop(place))

    @rule(number=ROUTERS)
    def kill_and_restart(self, number) -> None:
        self.world.restart(number)

    @rule(lender=ROUTERS, borrower=ROUTERS, tokens=TOKENS, lost=st.booleans())
    def lend(self, lender, borrower, tokens, lost) -> None:
        if lender == borrower:
            return
        given = self.world.routers[lender].allowance.lend(tokens)
        if not lost:
            self.world.routers[borrower].allowance.borrowed += given

    @rule(more=st.integers(1, 2000), told=st.sets(ROUTERS))
    def top_up(self, more, told) -> None:
        self.world.prepaid += more
        self.world.most_prepaid = max(
            self.world.most_prepaid, self.world.prepaid
        )
        self._tell(told)

    @rule(less=st.integers(1, 2000), told=st.sets(ROUTERS))
    def lower(self, less, told) -> None:
        self.world.prepaid = max(1, self.world.prepaid - less)
        self._tell(told)
        for number in told:
            allowance = self.world.routers[number].allowance
            allowance.lower_limit(allowance.count_charged())

    @invariant()
    def consume_no_more_than_was_paid(self) -> None:
        assert self.world.consumed <= self.world.most_prepaid

    @invariant()
    def be_able_to_consume_no_more_than_was_paid(self) -> None:
        # All tokens that routers could hold now, not only those held.
        possible = self.world.consumed + self.world.count_available()
        assert possible <= self.world.most_prepaid

    @invariant()
    def grant_no_more_than_was_paid(self) -> None:
        assert self.world.count_granted() <= self.world.most_prepaid

    @invariant()
    def strand_no_more_than_losses_may_cost(self) -> None:
        # If all routers died now, their spare tokens would be lost.
        ledger = self.world.ledger
        if ledger:
            lost = ledger.closed_spare + ledger.count_spare()
            assert lost <= LOSS_SHARE * self.world.most_prepaid

    def _tell(self, told) -> None:
        self.world.version += 1
        for number in told:
            self.world.routers[number].version = self.world.version


class ReturnMachine(RuleBasedStateMachine):
    """A store that returns from older copies of itself.

    What ended routers wrote since the copy is known to a running one.
    """

    def __init__(self) -> None:
        super().__init__()
        self.world = World(RETURN_PREPAID)
        self.copies: list[Copy] = [self.world.copy()]

    @rule(number=ROUTERS, tokens=LARGE_TOKENS, reads=st.booleans())
    def take(self, number, tokens, reads) -> None:
        """Hold all available tokens; without a read, a router may be late."""
        router = self.world.routers[number]
        if reads:
            self.world.read(router)
        if self.world.apply(self.world.plan(router, tokens, spare=True)):
            self.world.confirm(router)
        else:
            self.world.read(router)
        self.world.hold(router, max(0, router.allowance.count_available()))

    @rule(number=ROUTERS, used=LARGE_TOKENS)
    def give_back(self, number, used) -> None:
        router = self.world.routers[number]
        self.world.settle(router, used)
        self.world.read(router)
        assert self.world.apply(self.world.plan(router, 0, spare=False))
        self.world.confirm(router)

    @rule(number=ROUTERS)
    def read(self, number) -> None:
        self.world.read(self.world.routers[number])

    @rule()
    def copy(self) -> None:
        self.copies.append(self.world.copy())

    @rule(place=st.integers(0, 20))
    def restore(self, place) -> None:
        copy = self.copies[place % len(self.copies)]
        if self.world.is_known_since(copy):
            self.world.restore(copy)
            self.copies = [copy]

    @rule(number=ROUTERS)
    def restate(self, number) -> None:
        self.world.restate(self.world.routers[number])

    @rule()
    def restate_all(self) -> None:
        """Let all routers have the time that they need."""
        for _ in range(2):
            for router in self.world.routers:
                self.world.restate(router)

    @rule(number=ROUTERS)
    def kill_and_restart(self, number) -> None:
        if self.world.is_restated(self.world.routers[number]):
            self.world.restart(number)

    @invariant()
    def consume_no_more_than_was_paid(self) -> None:
        assert self.world.consumed <= self.world.most_prepaid

    @invariant()
    def be_able_to_consume_no_more_than_was_paid(self) -> None:
        possible = self.world.consumed + self.world.count_available()
        assert possible <= self.world.most_prepaid


LedgerCase = LedgerMachine.TestCase
ReturnCase = ReturnMachine.TestCase


def test_a_restart_loses_what_was_spare_and_no_more() -> None:
    world = World(10_000)
    router = world.routers[0]
    assert world.apply(world.plan(router, 500, spare=True))
    world.confirm(router)
    assert world.hold(router, 500)
    world.settle(router, 300)
    granted = world.count_granted()
    world.restart(0)
    again = world.routers[0]
    world.read(again)
    assert world.apply(world.plan(again, 100, spare=False))
    world.confirm(again)
    assert world.count_granted() == granted + 100
    assert world.ledger is not None
    assert list(world.ledger.rows) == ['i0-1']


def test_returned_tokens_are_free_for_others() -> None:
    world = World(1000)
    first, second = world.routers[:2]
    assert world.apply(world.plan(first, 900, spare=True))
    world.confirm(first)
    assert world.hold(first, 900)
    world.settle(first, 100)
    assert world.apply(world.plan(first, 0, spare=False))
    world.confirm(first)
    world.read(second)
    assert world.apply(world.plan(second, 900, spare=False))
    world.confirm(second)
    assert world.hold(second, 900)


def test_an_older_configuration_does_not_raise_a_lowered_budget() -> None:
    world = World(1000)
    world.routers[0].version = 2
    world.prepaid = 400
    assert world.apply(world.plan(world.routers[0], 0, spare=False))
    world.confirm(world.routers[0])
    world.routers[1].version = 1
    world.prepaid = 1000
    world.read(world.routers[1])
    assert world.apply(world.plan(world.routers[1], 900, spare=True))
    assert world.count_granted() <= 400


def test_deaths_of_all_routers_strand_a_bounded_part_of_a_budget() -> None:
    # Each loss takes the spare tokens of all routers.
    world = World(10_000)
    for _ in range(6):
        for number in range(3):
            router = world.routers[number]
            world.read(router)
            assert world.apply(world.plan(router, 0, spare=True))
            world.confirm(router)
        for number in range(3):
            world.restart(number)
    survivor = world.routers[0]
    world.read(survivor)
    world.apply(world.plan(survivor, 0, spare=False))
    assert world.ledger is not None
    assert 0 < world.ledger.closed < world.prepaid / 2
