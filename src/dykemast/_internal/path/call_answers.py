"""Answers of plain services: passed on after their bill is durable."""

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
    order: requests.Order,
) -> Response:
    """Send a call and pass its answer on.

    :param parts: parts of the router.
    :param job: the request.
    :param order: what to send.
    :returns: the answer.
    :raises RefusedError: when there is none, or it broke off.
    """
    response = (await routes.send_order(parts, job, order)).response
    cut = Outcome(order.bound, order.bound, CUT)
    try:
        body = await relays.read_whole(response, job.ask.deadline)
    except (UpstreamError, asyncio.CancelledError) as error:
        response.close()
        background.run_apart(job.finish(cut))
        if isinstance(error, asyncio.CancelledError):
            raise
        raise RefusedError(_refuse_cut(error)) from error
    recorded = record(response, body)
    await job.finish(Outcome(order.bound, order.bound, answer=recorded))
    answer = make_answer(response, body)
    answer.headers['x-request-id'] = job.ask.request
    answer.headers['x-billed-tokens'] = str(order.bound)
    return answer


def _refuse_cut(error: Exception) -> requests.Refusal:
    return requests.Refusal(
        requests.Code.upstream_failed, str(error), requests.Ran.did_run
    )
