"""Ways of choosing a worker: the product's, and baselines."""

import itertools
import random
from collections.abc import Callable, Iterator
from typing import Final, NamedTuple

from dykemast._internal.models.fleet import Instance
from dykemast._internal.operations.routing import rank_workers
from dykemast._internal.operations.worker_load import Candidate, RankingContext
from tools.simulation.workers import (
    PREFIXES,
    ROUTERS,
    WORKERS,
    Pool,
    Request,
)

#: Requests a second, and how many are run.
RATE: Final = 42.0
COUNT: Final = 12000
#: Makes a hash of a prefix's number.
_SPREAD: Final = 2654435761

#: Chooses the worker for a request: router, prefix, seconds.
Choose = Callable[[int, int, float], int]


class Outcome(NamedTuple):
    """What a run counted.

    :param hits: whether its prefix was cached, of each request.
    :param first: seconds until the first token, of each request.
    """

    hits: list[bool]
    first: list[float]


def run_pool(make: Callable[[Pool], Choose], seed: int) -> Outcome:
    """Run the load with one way of choosing.

    :param make: makes the way of choosing.
    :param seed: of the requests.
    :returns: what was counted.
    """
    pool = Pool()
    choose = make(pool)
    outcome = Outcome([], [])
    for request in _draw_requests(random.Random(seed)):
        pool.settle(request.at)
        worker = choose(request.router, request.prefix, request.at)
        outcome.hits.append(request.prefix in pool.caches[worker])
        outcome.first.append(pool.run(worker, request))
    return outcome


def _draw_requests(chance: random.Random) -> Iterator[Request]:
    weights = [1 / (1 + prefix) for prefix in range(PREFIXES)]
    now = float(0)
    for _ in range(COUNT):
        now += chance.expovariate(RATE)
        prefix = chance.choices(range(1, PREFIXES + 1), weights)[0]
        yield Request(chance.randrange(ROUTERS), prefix, now)


def choose_as_product(pool: Pool) -> Choose:
    """Choose as the product does.

    :param pool: the workers.
    :returns: the way of choosing.
    """
    chance = random.Random(1)
    instances = [
        Instance(f'w{worker}', 'llm', 'north', '10.0.0.1', 1)
        for worker in range(WORKERS)
    ]

    def choose(router: int, prefix: int, now: float) -> int:
        candidates = [
            Candidate(
                instance,
                pool.inflight[router][worker],
                pool.reports[worker]._replace(own=pool.known[router][worker]),
            )
            for worker, instance in enumerate(instances)
        ]
        ranking = RankingContext('north', prefix * _SPREAD, now, ROUTERS)
        best = rank_workers(candidates, ranking, chance)[0]
        return instances.index(best.instance)

    return choose


def choose_at_random(_: Pool) -> Choose:
    """Choose any worker.

    :returns: the way of choosing.
    """
    chance = random.Random(2)
    return lambda router, prefix, now: chance.randrange(WORKERS)


def choose_in_turn(_: Pool) -> Choose:
    """Choose one worker after the other, at each router by itself.

    :returns: the way of choosing.
    """
    turns = [itertools.count(router) for router in range(ROUTERS)]
    return lambda router, prefix, now: next(turns[router]) % WORKERS
