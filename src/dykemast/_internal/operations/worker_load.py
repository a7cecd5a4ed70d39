"""How busy a worker is, judged from reports that lag."""

from typing import Final, NamedTuple

from dykemast._internal.models.fleet import Instance, LoadReport

#: Seconds after which a load report counts half.
REPORT_HALF_LIFE: Final = 5.0
#: Part of this router's change that each router is taken to have made.
OTHERS_SHARE: Final = 0.5
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


class RankingContext(NamedTuple):
    """What a ranking depends on.

    :param hall: hall of this router.
    :param prefix: hash of the prompt's leading part; 0 for none.
    :param now: seconds.
    :param routers: routers that send to the same workers.
    """

    hall: str
    prefix: int
    now: float
    routers: int = 1


def estimate_load(candidate: Candidate, ranking: RankingContext) -> float:
    """Estimate how busy a worker is.

    The last report, and what has changed since: the other routers are taken
    to have done about what this one did, half of it for caution. Reports
    alone send everybody to the same worker until the next one comes. What
    an old report says fades into what this router sees itself.

    :param candidate: the worker.
    :param ranking: hall, routers and time.
    :returns: requests.
    """
    age = max(0, ranking.now - candidate.report.at)
    trust = 0.5 ** (age / REPORT_HALF_LIFE)
    estimate = trust * _bring_up_to_date(candidate, ranking.routers)
    estimate += (1 - trust) * candidate.inflight * ranking.routers
    if candidate.instance.hall != ranking.hall:
        estimate += HALL_COST
    return estimate


def _bring_up_to_date(candidate: Candidate, routers: int) -> float:
    report = candidate.report
    change = (candidate.inflight - report.own) * routers
    return report.running + report.waiting + change * OTHERS_SHARE
