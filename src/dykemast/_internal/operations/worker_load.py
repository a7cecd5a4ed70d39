"""Estimated load of a worker, from delayed load reports."""

from typing import Final, NamedTuple

from dykemast._internal.models.fleet import Instance, LoadReport

#: Age at which the weight of a load report is one half.
REPORT_HALF_LIFE_S: Final = 5.0
#: Part of this router's change in load that each router is assumed to make.
PEER_CHANGE_SHARE: Final = 0.5
#: Additional load, in requests, of a worker in another hall.
REMOTE_HALL_PENALTY: Final = 3.0


class Candidate(NamedTuple):
    """A worker that can run a request.

    :param instance: the worker.
    :param inflight: requests of this router that are in flight there.
    :param report: its last load report.
    """

    instance: Instance
    inflight: int
    report: LoadReport


class RankingContext(NamedTuple):
    """Inputs of a ranking other than the candidates.

    :param hall: hall of this router.
    :param prefix: hash of the prompt's prefix; 0 for none.
    :param now: seconds on the monotonic clock.
    :param routers: number of routers that send to the same workers.
    """

    hall: str
    prefix: int
    now: float
    routers: int = 1


def estimate_load(candidate: Candidate, ranking: RankingContext) -> float:
    """Estimate the load of a worker.

    Adds to the last report the change since then: each router is assumed to
    have sent half as much as this one. With reports alone, all routers would
    choose the same worker until the next report. With its age, the report
    loses weight against the requests of this router.

    :param candidate: the worker.
    :param ranking: hall, number of routers and time.
    :returns: number of requests.
    """
    age = max(0, ranking.now - candidate.report.at)
    weight = 0.5 ** (age / REPORT_HALF_LIFE_S)
    estimate = weight * _extrapolate(candidate, ranking.routers)
    estimate += (1 - weight) * candidate.inflight * ranking.routers
    if candidate.instance.hall != ranking.hall:
        estimate += REMOTE_HALL_PENALTY
    return estimate


def _extrapolate(candidate: Candidate, routers: int) -> float:
    report = candidate.report
    change = (candidate.inflight - report.own) * routers
    return report.running + report.waiting + change * PEER_CHANGE_SHARE
