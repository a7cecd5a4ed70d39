"""All routers together keep to the rate limit that a server sends.

With and without gossip, routers restart and know different lists of routers
while limits begin and end; an oracle counts the requests of each window.
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

from dykemast._internal.operations.server_limits import NO_LIMIT
from tests.lib.limit_world import (
    OVERSHOOT,
    SLACK,
    WINDOW_S,
    LimitedFleet,
    count_busiest,
    restart,
)

NUMBERS = st.integers(0, 299)
LIMITS = (0.5, 1.3, 1.8, 2.5, 9.9, 20.0)


class LimitMachine(RuleBasedStateMachine):
    """Bursts, gossip, restarts and different lists of routers in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = LimitedFleet(1, 1)

    @initialize(
        count=st.sampled_from((1, 2, 6, 17, 87)),
        limit=st.sampled_from(LIMITS),
    )
    def begin(self, count, limit) -> None:
        self.fleet = LimitedFleet(count, limit)

    @rule(seconds=st.floats(0.001, 1.5))
    def advance(self, seconds) -> None:
        self.fleet.now += seconds

    @rule(number=NUMBERS)
    def send_burst(self, number) -> None:
        self.fleet.send_burst(number)

    @rule()
    def send_bursts(self) -> None:
        for number, _ in enumerate(self.fleet.routers):
            self.fleet.send_burst(number)

    @rule(sender=NUMBERS, receiver=NUMBERS)
    def gossip(self, sender, receiver) -> None:
        self.fleet.gossip(sender, receiver)

    @rule(limit=st.sampled_from((*LIMITS, NO_LIMIT)))
    def name_limit(self, limit) -> None:
        self.fleet.name_limit(limit)

    @rule(number=NUMBERS)
    def restart(self, number) -> None:
        restart(self.fleet, number)

    @rule(number=NUMBERS, unknown=NUMBERS)
    def forget(self, number, unknown) -> None:
        """Remove one peer from the list of one router."""
        fleet = self.fleet
        name = fleet.find(number).name
        other = fleet.find(unknown).name
        if other != name:
            fleet.views[name] = fleet.views[name] - {other}

    @invariant()
    def no_window_has_too_much(self) -> None:
        fleet = self.fleet
        if fleet.limit:
            most = OVERSHOOT * fleet.limit * WINDOW_S + SLACK
            assert count_busiest(fleet) <= most


LimitCase = LimitMachine.TestCase


def simulate(fleet: LimitedFleet, seconds: float, *, gossiping: bool) -> int:
    """Have all routers send continuously; count the requests."""
    draw = random.Random(7)
    until = fleet.now + seconds
    begun = len(fleet.counted)
    while fleet.now < until:
        for number, _ in enumerate(fleet.routers):
            fleet.send_burst(number)
            if gossiping:
                fleet.gossip(draw.randrange(300), number)
        fleet.now += 0.05
    return len(fleet.counted) - begun


def test_routers_without_gossip_keep_to_the_limit() -> None:
    for count in (1, 6, 87, 300):
        for limit in LIMITS:
            fleet = LimitedFleet(count, limit)
            simulate(fleet, 12, gossiping=False)
            most = OVERSHOOT * limit * WINDOW_S + SLACK
            assert count_busiest(fleet) <= most, (count, limit)


def test_half_of_a_limit_at_least_is_used_in_fleets_of_any_size() -> None:
    for count in (1, 6, 87, 300):
        for limit in LIMITS:
            fleet = LimitedFleet(count, limit)
            simulate(fleet, 4, gossiping=True)
            assert simulate(fleet, 20, gossiping=True) >= 10 * limit, (
                count,
                limit,
            )


def test_the_end_of_a_limit_reaches_all_routers() -> None:
    fleet = LimitedFleet(6, 1.8)
    simulate(fleet, 4, gossiping=True)
    fleet.name_limit(NO_LIMIT)
    simulate(fleet, 2, gossiping=True)
    assert not any(map(fleet.compute_wait, fleet.routers))


def test_routers_without_a_share_wait_indefinitely() -> None:
    fleet = LimitedFleet(6, 1.8)
    simulate(fleet, 4, gossiping=True)
    waits = [fleet.compute_wait(router) for router in fleet.routers]
    assert sum(map(math.isinf, waits)) == 5


def test_the_next_router_in_rank_probes_if_chosen_ones_are_gone() -> None:
    fleet = LimitedFleet(6, 1.8)
    simulate(fleet, 4, gossiping=True)
    first = min(fleet.routers, key=fleet.compute_wait)
    fleet.routers.remove(first)
    fleet.name_limit(NO_LIMIT)
    simulate(fleet, 8, gossiping=True)
    assert not any(map(fleet.compute_wait, fleet.routers))
