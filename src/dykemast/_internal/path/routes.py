"""Send a request to the best backend server, and retry where safe."""

from typing import Final, NamedTuple

import aiohttp
import logbook

from dykemast._internal.exceptions import UpstreamError
from dykemast._internal.models.fleet import Instance
from dykemast._internal.models.requests import (
    Code,
    BackendRequest,
    Ran,
    Refusal,
)
from dykemast._internal.operations.worker_load import Candidate
from dykemast._internal.path.candidates import record_sent, rank_candidates
from dykemast._internal.path.entrances import wait_for_slot
from dykemast._internal.path.jobs import Job
from dykemast._internal.path.parts import Parts, RefusedError
from dykemast._internal.utils.clock import read_clock

_log = logbook.Logger('route')

MAX_ATTEMPTS: Final = 3
#: Retry-After when no backend server can serve the request.
NO_WORKER_RETRY_AFTER_S: Final = 2


class Upstream(NamedTuple):
    """A response whose head has arrived.

    :param instance: the backend server.
    :param response: its response; the body is still to be read.
    """

    instance: Instance
    response: aiohttp.ClientResponse


async def send_backend_request(
    parts: Parts, job: Job, backend_request: BackendRequest
) -> Upstream:
    """Send a request to the best server, or to the next where safe.

    :param parts: shared components of the router.
    :param job: the request.
    :param backend_request: the request to send.
    :returns: the response, with its body unread.
    :raises RefusedError: when no backend server responded.
    """
    await wait_for_slot(parts, job, backend_request)
    parts.breakers.record_request()
    ranked = rank_candidates(parts, backend_request)
    failure: UpstreamError | None = None
    for candidate in ranked[:MAX_ATTEMPTS]:
        if failure and not _may_retry(parts, job, failure):
            break
        try:
            return await _try_server(parts, job, backend_request, candidate)
        except UpstreamError as error:
            failure = _choose_failure(failure, error)
    raise RefusedError(_refuse(job, backend_request, failure))


async def _try_server(
    parts: Parts,
    job: Job,
    backend_request: BackendRequest,
    candidate: Candidate,
) -> Upstream:
    instance = candidate.instance
    _log.info(
        'route: {} of {} to {} in {} ({} in flight, {} reported).',
        job.context.request,
        job.context.workspace,
        instance.name,
        instance.hall,
        candidate.inflight,
        candidate.report.running,
    )
    try:
        response = await parts.backends.send(
            instance, backend_request, job.context
        )
    except UpstreamError as error:
        parts.breakers.record_failure(instance.name, read_clock())
        _log.warning('route: {} failed: {}', job.context.request, error)
        raise
    parts.breakers.record_success(instance.name)
    record_sent(parts, job, instance.name)
    return Upstream(instance, response)


def _may_retry(parts: Parts, job: Job, failure: UpstreamError) -> bool:
    if (
        read_clock() > job.context.deadline
        or not parts.breakers.consume_retry()
    ):
        return False
    if not failure.sent:
        return True
    return job.context.repeatable and job.charge_failed_attempt()


def _choose_failure(
    before: UpstreamError | None, error: UpstreamError
) -> UpstreamError:
    return before if before and before.sent else error


def _refuse(
    job: Job,
    backend_request: BackendRequest,
    failure: UpstreamError | None,
) -> Refusal:
    if failure is None:
        wanted = backend_request.model or 'room'
        text = f'No worker of {backend_request.service} has {wanted} now.'
        return Refusal(
            Code.no_worker, text, retry_after=NO_WORKER_RETRY_AFTER_S
        )
    ran = Ran.unknown if failure.sent else Ran.not_run
    if read_clock() >= job.context.deadline:
        text = 'The deadline passed before the backend server answered.'
        return Refusal(Code.too_late, text, ran)
    text = f'The backend server failed: {failure}'
    return Refusal(
        Code.upstream_failed, text, ran, retry_after=NO_WORKER_RETRY_AFTER_S
    )
