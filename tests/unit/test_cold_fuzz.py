"""All routers together keep to the rate limit of a cold server.

Routers restart and know different lists of routers; an oracle counts the
requests of each second.
"""

import math
import random

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from dykemast._internal.operations.shared_rate_limiter import SharedRateLimiter

SERVER = 'i-1/7'
#: Allowed excess over the rate limit, as a factor and as a number of requests.
OVERSHOOT = 1.5
SLACK = 5
#: Limit of a cold server in requests per second, and seconds that it is cold.
RATE = 9.9
COLD_TIME_S = 3.0
NUMBERS = st.integers(0, 299)
#: Peers that a router may not know yet, as a part of the fleet and at most.
UNKNOWN_SHARE = 0.1
MOST_UNKNOWN = 5


class ColdFleet:
    """Routers that send to the same cold server."""

    def __init__(self, count: int, rate: float) -> None:
        self.rate = rate
        self.now = float()
        self.sent: list[float] = []
        self.names = [f'node-{number}' for number in range(count)]
        everybody = frozenset(self.names)
        self.views = {name: everybody for name in self.names}
        self.routers = {
            name: SharedRateLimiter(name, -1e9) for name in self.names
        }

    def send_burst(self, number: int) -> None:
        """Have one router send as much as it may."""
        name = self.names[number % len(self.names)]
        router = self.routers[name]
        for _ in range(100):
            wait = router.compute_wait(
                SERVER, self.views[name], self.rate, self.now
            )
            if wait:
                return
            router.record_sent(SERVER, self.now)
            self.sent.append(self.now)

    def send_bursts(self) -> None:
        """Have all routers send as much as they may."""
        for number, _ in enumerate(self.names):
            self.send_burst(number)

    def count_busiest(self) -> int:
        return max(
            (
                sum(begin <= at <= begin + 1 for at in self.sent)
                for begin in self.sent
            ),
            default=0,
        )


class ColdMachine(RuleBasedStateMachine):
    """Bursts, restarts and different lists of routers in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = ColdFleet(1, 1)

    @initialize(
        count=st.sampled_from((1, 2, 6, 9, 17, 87)),
        rate=st.sampled_from((0.5, 2.5, 9.9, 20.0)),
    )
    def begin(self, count, rate) -> None:
        self.fleet = ColdFleet(count, rate)

    @rule(seconds=st.floats(0.001, 0.6))
    def advance(self, seconds) -> None:
        self.fleet.now += seconds

    @rule(number=NUMBERS)
    def send_burst(self, number) -> None:
        self.fleet.send_burst(number)

    @rule()
    def burst_all(self) -> None:
        self.fleet.send_bursts()

    @rule(number=NUMBERS)
    def restart(self, number) -> None:
        fleet = self.fleet
        name = fleet.names[number % len(fleet.names)]
        fleet.routers[name] = SharedRateLimiter(name, fleet.now)

    @rule(number=NUMBERS, seed=st.integers(0, 99))
    def forget(self, number, seed) -> None:
        """Remove some peers from the list of one router."""
        fleet = self.fleet
        name = fleet.names[number % len(fleet.names)]
        others = [one for one in fleet.names if one != name]
        most = min(MOST_UNKNOWN, math.floor(UNKNOWN_SHARE * len(others)))
        unknown = random.Random(seed).sample(others, most)
        fleet.views[name] = frozenset(fleet.names) - set(unknown)

    @invariant()
    def no_second_has_too_much(self) -> None:
        most = OVERSHOOT * self.fleet.rate + SLACK
        assert self.fleet.count_busiest() <= most


ColdCase = ColdMachine.TestCase


def simulate_bursts(fleet: ColdFleet) -> None:
    """Have all routers send continuously while the server is cold."""
    while fleet.now < COLD_TIME_S:
        fleet.send_bursts()
        fleet.now += 0.01


def test_most_of_the_rate_is_used_in_fleets_of_any_size() -> None:
    for count in (1, 3, 6, 9, 17, 87, 300):
        fleet = ColdFleet(count, RATE)
        simulate_bursts(fleet)
        assert len(fleet.sent) > 0.8 * RATE * COLD_TIME_S, count
        # With equal lists of routers, the rate limit is kept exactly.
        assert fleet.count_busiest() <= RATE, count


def test_an_equal_share_for_each_router_would_be_saved_up() -> None:
    # If each of 87 routers sent every 87 / RATE seconds, the first requests
    # after a pause could all be sent at the same time.
    first_turns = [number / RATE for number in range(87)]
    at_once = sum(turn <= COLD_TIME_S for turn in first_turns)
    assert at_once > OVERSHOOT * RATE + SLACK
    fleet = ColdFleet(87, RATE)
    fleet.now = COLD_TIME_S
    fleet.send_bursts()
    assert len(fleet.sent) <= RATE


def test_a_router_that_starts_counts_what_it_may_have_sent_before() -> None:
    fleet = ColdFleet(1, RATE)
    fleet.send_burst(0)
    fleet.routers['node-0'] = SharedRateLimiter('node-0', 0.05)
    fleet.now = 0.1
    fleet.send_burst(0)
    assert len(fleet.sent) == 1
