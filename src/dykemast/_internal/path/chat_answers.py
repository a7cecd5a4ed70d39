"""Relay responses of chat completions and bill them."""

import asyncio
from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import NamedTuple

import logbook
from starlette.responses import Response, StreamingResponse

from dykemast._internal.exceptions import UpstreamError
from dykemast._internal.models.requests import (
    Code,
    BackendRequest,
    Ran,
    Refusal,
)
from dykemast._internal.path import background, relays, routes
from dykemast._internal.path.jobs import CUT, Job, Outcome
from dykemast._internal.path.parts import RefusedError
from dykemast._internal.path.stream_progress import StreamProgress

_log = logbook.Logger('relay')


class Exchange(NamedTuple):
    """A backend request and its response in progress.

    :param job: the request.
    :param backend_request: the request that was sent.
    :param upstream: the response, with its body unread.
    """

    job: Job
    backend_request: BackendRequest
    upstream: routes.Upstream


async def answer_whole(exchange: Exchange) -> Response:
    """Return a response that is not streamed.

    :param exchange: the backend request and its response.
    :returns: the response, once its bill is durable.
    :raises RefusedError: when the engine's response is truncated.
    """
    backend_request = exchange.backend_request
    try:
        body = await relays.read_whole(
            exchange.upstream.response, exchange.job.context.deadline
        )
    except (UpstreamError, asyncio.CancelledError) as error:
        exchange.upstream.response.close()
        background.run_in_background(
            exchange.job.finish(
                Outcome(
                    backend_request.token_limit,
                    backend_request.token_limit,
                    CUT,
                )
            )
        )
        if isinstance(error, asyncio.CancelledError):
            raise
        text = f'The answer broke off and is billed in full: {error}'
        refusal = Refusal(Code.upstream_failed, text, Ran.did_run)
        raise RefusedError(refusal) from error
    return await _finish_complete(exchange, body)


async def _finish_complete(exchange: Exchange, body: bytes) -> Response:
    status = exchange.upstream.response.status
    usage = relays.find_usage(body)
    if usage is None:
        # An error without usage means that the engine rejected the request and
        # consumed nothing. A success without usage is charged in full.
        bad = status >= HTTPStatus.BAD_REQUEST
        usage = 0 if bad else exchange.backend_request.token_limit
    verdict = await exchange.job.finish(Outcome(usage, usage))
    headers = {
        'x-request-id': exchange.job.context.request,
        'x-billed-tokens': str(usage),
        'x-bill': verdict.value,
    }
    return Response(body, status, headers, 'application/json')


def answer_stream(exchange: Exchange) -> Response:
    """Return a streamed response.

    :param exchange: the backend request and its response.
    :returns: the response; its end marker is sent once the bill is
        durable.
    """
    return StreamingResponse(
        _relay(exchange),
        exchange.upstream.response.status,
        {'x-request-id': exchange.job.context.request},
        'text/event-stream',
    )


async def _relay(exchange: Exchange) -> AsyncIterator[bytes]:
    progress = StreamProgress()
    response = exchange.upstream.response
    events = relays.read_events(response, exchange.job.context.deadline)
    try:
        async for event in events:
            if progress.record_event(event):
                yield event.body
    except BaseException as error:
        _finish_truncated(exchange, progress)
        _log.info(
            'relay: stream of {} truncated: {!r}',
            exchange.backend_request.service,
            error,
        )
        raise
    response.close()
    await _bill_stream(exchange, progress)
    for body in progress.held_events:
        yield body


async def _bill_stream(exchange: Exchange, progress: StreamProgress) -> None:
    usage = (
        exchange.backend_request.token_limit
        if progress.usage is None
        else progress.usage
    )
    await exchange.job.finish(Outcome(usage, usage))


def _finish_truncated(exchange: Exchange, progress: StreamProgress) -> None:
    backend_request = exchange.backend_request
    exchange.upstream.response.close()
    # The engine may have generated tokens that were not relayed: the budget
    # is charged in full, the bill states what was delivered.
    billed = min(
        backend_request.token_limit,
        backend_request.prompt_token_limit + progress.relayed_events,
    )
    background.run_in_background(
        exchange.job.finish(Outcome(backend_request.token_limit, billed, CUT))
    )
