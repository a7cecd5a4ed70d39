"""One run of requests on simulated time."""

import functools
import heapq
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from tools.simulation import model


class _Event(NamedTuple):
    at: float
    order: int
    act: Callable[[], None]


class Run:
    """One run: ticks, arrivals and ends in the order of their time.

    :param world: clock, net and budget.
    :param sharing: the way of sharing.
    :param chance: source of randomness.
    :param demand: the load.
    """

    def __init__(
        self,
        world: model.World,
        sharing: model.Sharing,
        chance: random.Random,
        demand: model.Demand,
    ) -> None:
        """Start with nothing planned."""
        self.world = world
        self.sharing = sharing
        self.chance = chance
        self.demand = demand
        self._counts = {'asked': 0, 'possible': 0, 'refused': 0}
        self._left = world.paid
        self._rate = demand.rate
        self._queue: list[_Event] = []
        self._order = itertools.count()
        self._weights = [
            1 / (1 + router) if demand.skewed else 1
            for router in range(model.ROUTERS)
        ]

    def go(self) -> model.Tally:
        """Run to the end.

        :returns: what was counted.
        """
        self._plan_all()
        while self._queue:
            event = heapq.heappop(self._queue)
            self.world.now = event.at
            if event.at > model.CALM + model.CUT:
                break
            event.act()
        return model.Tally(
            **self._counts,
            overspent=max(0, -self._left),
            unused=max(0, self._left),
        )

    def _plan(self, wait: float, act: Callable[[], None]) -> None:
        event = _Event(self.world.now + wait, next(self._order), act)
        heapq.heappush(self._queue, event)

    def _plan_all(self) -> None:
        for router in range(model.ROUTERS):
            act = functools.partial(self._tick, router)
            self._plan(router * model.TICK / model.ROUTERS, act)
        self._plan(0, self._arrive)
        for kind, part in (('cut', 0), ('kill', 0.2), ('rush', 0.5)):
            at = model.CALM + part * model.CUT
            self._plan(at, functools.partial(self._disturb, kind))

    def _tick(self, router: int) -> None:
        self.sharing.tick(router, self.world.now)
        self._plan(model.TICK, functools.partial(self._tick, router))

    def _disturb(self, kind: str) -> None:
        if kind == 'cut':
            groups = self.demand.groups
            self.world.net = model.Net(platform=False, groups=groups)
        elif kind == 'rush':
            self._rate *= self.demand.rush
        else:
            # Nobody can take back what the dead held before the cut ends.
            for router in range(self.demand.killed):
                self._weights[router] = 0

    def _arrive(self) -> None:
        self._plan(self.chance.expovariate(self._rate), self._arrive)
        router = self.chance.choices(range(model.ROUTERS), self._weights)[0]
        possible = self._left >= model.HOLD
        taken = self.sharing.take(router, model.HOLD, self.world.now)
        if not self.world.net.platform:
            self._counts['asked'] += 1
            self._counts['possible'] += possible
            self._counts['refused'] += possible and not taken
        if taken:
            used = self.chance.randint(*model.USED)
            self._left -= used
            end = functools.partial(
                self.sharing.settle, router, model.HOLD, used
            )
            self._plan(model.DURATION, end)


def run(
    demand: model.Demand,
    make: Callable[[model.World], model.Sharing],
    seed: int,
) -> model.Tally:
    """Run calm and cut once.

    :param demand: the load.
    :param make: makes the way of sharing.
    :param seed: of the requests.
    :returns: what was counted.
    """
    world = model.World(model.count_paid(demand))
    return Run(world, make(world), random.Random(seed), demand).go()
