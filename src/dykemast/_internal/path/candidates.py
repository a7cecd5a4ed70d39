"""Backend servers that can serve a request, by the state cached here."""

from dykemast._internal.models.fleet import LoadReport
from dykemast._internal.models.requests import BackendRequest
from dykemast._internal.operations.peers import list_owners
from dykemast._internal.operations.routing import rank_workers
from dykemast._internal.operations.worker_load import Candidate, RankingContext
from dykemast._internal.path.jobs import Job
from dykemast._internal.path.parts import Parts
from dykemast._internal.utils.clock import read_clock


def list_candidates(
    parts: Parts, backend_request: BackendRequest
) -> list[Candidate]:
    """List the backend servers that can serve a request.

    :param parts: shared components of the router.
    :param backend_request: the request to send.
    :returns: servers of the service that have the model, do not leave, and
        whose circuit breaker is closed.
    """
    board = parts.board
    reports = board.loads.reports
    found = [
        Candidate(
            instance,
            board.traffic.by_worker.get(instance.name, 0),
            reports.get(instance.name, LoadReport()),
        )
        for instance in board.fleet.instances
        if instance.role == backend_request.service
        and instance.name not in board.fleet.leaving
        and not parts.breakers.is_open(instance.name, read_clock())
    ]
    return [
        one
        for one in found
        if not backend_request.model
        or backend_request.model in one.report.models
    ]


def rank_candidates(
    parts: Parts, backend_request: BackendRequest
) -> list[Candidate]:
    """Rank the backend servers that can serve a request.

    :param parts: shared components of the router.
    :param backend_request: the request to send.
    :returns: the servers, best first.
    """
    now = read_clock()
    ranking = RankingContext(
        parts.board.settings['hall'],
        backend_request.prefix,
        now,
        len(list_owners(parts.board, now)),
    )
    return rank_workers(
        list_candidates(parts, backend_request), ranking, parts.chance
    )


def record_sent(parts: Parts, job: Job, name: str) -> None:
    """Count a request as in flight at a backend server until its job ends.

    :param parts: shared components of the router.
    :param job: the request.
    :param name: instance id of the server.
    """
    counts = parts.board.traffic.by_worker
    counts[name] = counts.get(name, 0) + 1

    def decrement() -> None:
        counts[name] -= 1
        if not counts[name]:
            counts.pop(name)

    job.on_release(decrement)
