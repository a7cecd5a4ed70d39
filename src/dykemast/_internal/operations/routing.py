"""Which worker gets a request."""

import functools
import random
from typing import Final, NamedTuple

from dykemast._internal.models.fleet import Instance, LoadReport
from dykemast._internal.operations.rendezvous import hash_text

#: Seconds after which a load report counts half.
REPORT_HALF_LIFE: Final = 1.0
#: Workers drawn at random for one request.
MAX_DRAWN: Final = 3
#: Workers whose hashes are kept.
MAX_NAMES: Final = 4096
#: Requests by which the worker that has the prefix may be busier.
AFFINITY_SLACK: Final = 4.0
#: Requests that a worker in another hall counts as busier.
HALL_COST: Final = 3.0


# An odd multiplier with well-spread bits, and the bits of a word.
_MIXER: Final = 0x9E3779B97F4A7C15
_WORD_BITS: Final = 64


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
    """Choose the workers to try, in order.

    The worker with the prompt's prefix comes first unless it is much busier
    than two that are drawn at random; else the less busy of these. Only a
    few are looked at: with 840 workers, weighing all took 3 ms a request.

    :param candidates: workers that could run the request.
    :param ranking: what the order depends on.
    :param chance: source of randomness.
    :returns: a few of them, in order.
    """
    drawn = chance.sample(candidates, min(MAX_DRAWN, len(candidates)))
    drawn.sort(key=lambda one: estimate_load(one, ranking))
    affine = _find_affine(candidates, ranking.prefix)
    if affine is None:
        return drawn
    limit = estimate_load(drawn[0], ranking) + AFFINITY_SLACK
    if estimate_load(affine, ranking) > limit:
        return drawn
    return [affine, *(one for one in drawn if one is not affine)]


def _find_affine(
    candidates: list[Candidate],
    prefix: int,
) -> Candidate | None:
    if not prefix or not candidates:
        return None
    return max(candidates, key=lambda one: _mix(prefix, one.instance.name))


def _mix(prefix: int, name: str) -> int:
    """Mix two hashes; cheap, and the same on every router."""
    return (prefix ^ _hash_name(name)) * _MIXER % (1 << _WORD_BITS)


@functools.lru_cache(maxsize=MAX_NAMES)
def _hash_name(name: str) -> int:
    return hash_text(name)
