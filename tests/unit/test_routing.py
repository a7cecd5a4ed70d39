"""Choice of the worker that runs a request."""

import random

from dykemast._internal.models.fleet import Instance, LoadReport
from dykemast._internal.operations.routing import rank_workers
from dykemast._internal.operations.worker_load import Candidate, RankingContext


def make_workers(*inflight: int, hall: str = 'north') -> list[Candidate]:
    """Make workers with the given numbers of requests in flight."""
    return [
        Candidate(
            Instance(f'w{number}', 'llm', hall, '127.0.0.1', 1),
            count,
            LoadReport(models=('tiny-1',)),
        )
        for number, count in enumerate(inflight)
    ]


def choose(workers: list[Candidate], prefix: int) -> list[str]:
    """Choose 200 times; return the names of the first choices."""
    rng = random.Random(1)
    ranking = RankingContext('north', prefix, 1)
    return [
        rank_workers(workers, ranking, rng)[0].instance.name for _ in range(200)
    ]


def test_one_prefix_goes_to_one_worker() -> None:
    workers = make_workers(0, 0, 0, 0)
    assert len(set(choose(workers, 77))) == 1
    firsts = {choose(workers, prefix)[0] for prefix in range(1, 60)}
    assert firsts == {'w0', 'w1', 'w2', 'w3'}


def test_busy_worker_loses_its_prefix() -> None:
    name = choose(make_workers(0, 0, 0, 0), 77)[0]
    loads = [9 if f'w{number}' == name else 0 for number in range(4)]
    assert name not in choose(make_workers(*loads), 77)


def test_the_busiest_is_drawn_last() -> None:
    assert 'w3' not in choose(make_workers(0, 1, 2, 9), 0)


def test_own_hall_comes_first() -> None:
    near = make_workers(2, 2)
    far = [
        one._replace(instance=one.instance._replace(name='far', hall='south'))
        for one in make_workers(0)
    ]
    assert 'far' not in choose([*near, *far], 0)


def test_no_worker_is_no_choice() -> None:
    assert not rank_workers([], RankingContext('north', 1, 1), random.Random(1))
