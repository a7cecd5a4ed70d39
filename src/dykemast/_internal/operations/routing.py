"""Which worker gets a request."""

import random
from typing import Final, NamedTuple

from dykemast._internal.models.fleet import Instance, LoadReport
from dykemast._internal.operations.rendezvous import choose_keeper

#: Seconds after which a load report counts half.
REPORT_HALF_LIFE: Final = 1.0
#: Requests by which the worker that has the prefix may be busier.
AFFINITY_SLACK: Final = 4.0
#: Requests that a worker in another hall counts as busier.
HALL_COST: Final = 3.0


class Candidate(NamedTuple):
    """A worker that could run a request.

    :param instance: the worker.
    :param inflight: requests that this router has sent and not got back.
    :param report: its last load report.
    """

    instance: Instance
    inflight: int
    report: LoadReport


class Ranking(NamedTuple):
    """What a ranking depends on.

    :param hall: hall of this router.
    :param prefix: hash of the prompt's leading part; 0 for none.
    :param now: seconds.
    """

    hall: str
    prefix: int
    now: float


def estimate_load(candidate: Candidate, ranking: Ranking) -> float:
    """Estimate how busy a worker is.

    A report counts less as it ages: a lagging one sends everybody to the
    same worker until the next report comes.

    :param candidate: the worker.
    :param ranking: hall and time.
    :returns: requests.
    """
    report = candidate.report
    age = max(0, ranking.now - report.at)
    trust = 0.5 ** (age / REPORT_HALF_LIFE)
    reported = (report.running + report.waiting) * trust
    elsewhere = candidate.instance.hall != ranking.hall
    return max(reported, candidate.inflight) + HALL_COST * elsewhere


def rank_workers(
    candidates: list[Candidate],
    ranking: Ranking,
    chance: random.Random,
) -> list[Candidate]:
    """Put workers in the order in which they should be tried.

    The worker with the prompt's prefix comes first unless it is much busier;
    else the less busy of two that are drawn at random.

    :param candidates: workers that could run the request.
    :param ranking: what the order depends on.
    :param chance: source of randomness.
    :returns: the same workers in order.
    """
    if not candidates:
        return []
    loads = {
        one.instance.name: estimate_load(one, ranking) for one in candidates
    }
    ranked = sorted(candidates, key=lambda one: loads[one.instance.name])
    first = _find_affine(ranked, loads, ranking.prefix)
    if first is None:
        drawn = chance.sample(ranked, min(2, len(ranked)))
        first = min(drawn, key=lambda one: loads[one.instance.name])
    ranked.remove(first)
    return [first, *ranked]


def _find_affine(
    ranked: list[Candidate],
    loads: dict[str, float],
    prefix: int,
) -> Candidate | None:
    if not prefix:
        return None
    names = [one.instance.name for one in ranked]
    name = choose_keeper(str(prefix), names)
    if loads[name or ''] > loads[names[0]] + AFFINITY_SLACK:
        return None
    return ranked[names.index(name or '')]
