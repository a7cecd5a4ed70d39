"""Responses of plain services, sent on once their bill is durable."""

import asyncio

from starlette.responses import Response

from dykemast._internal.exceptions import UpstreamError
from dykemast._internal.models import requests
from dykemast._internal.path import background, relays, routes
from dykemast._internal.path.jobs import CUT, Job, Outcome
from dykemast._internal.path.parts import Parts, RefusedError
from dykemast._internal.path.replays import make_answer, record


async def pass_on(
    parts: Parts,
    job: Job,
    backend_request: requests.BackendRequest,
) -> Response:
    """Send a call and return its response.

    :param parts: shared components of the router.
    :param job: the request.
    :param backend_request: the request to send.
    :returns: the response for the caller.
    :raises RefusedError: when there is none, or it is truncated.
    """
    response = (
        await routes.send_backend_request(parts, job, backend_request)
    ).response
    truncated = Outcome(
        backend_request.token_limit, backend_request.token_limit, CUT
    )
    try:
        body = await relays.read_whole(response, job.context.deadline)
    except (UpstreamError, asyncio.CancelledError) as error:
        response.close()
        background.run_in_background(job.finish(truncated))
        if isinstance(error, asyncio.CancelledError):
            raise
        raise RefusedError(_refuse_truncated(error)) from error
    recorded = record(response, body)
    await job.finish(
        Outcome(
            backend_request.token_limit,
            backend_request.token_limit,
            answer=recorded,
        )
    )
    answer = make_answer(response, body)
    answer.headers['x-request-id'] = job.context.request
    answer.headers['x-billed-tokens'] = str(backend_request.token_limit)
    return answer


def _refuse_truncated(error: Exception) -> requests.Refusal:
    return requests.Refusal(
        requests.Code.upstream_failed, str(error), requests.Ran.did_run
    )
