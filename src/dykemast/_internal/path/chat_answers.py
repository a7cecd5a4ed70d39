"""Answers of chat completions: relayed, settled, and ended by their bill."""

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
from dykemast._internal.path.seen_stream import StreamProgress

_log = logbook.Logger('relay')


class Exchange(NamedTuple):
    """An order that is being answered.

    :param job: the request.
    :param backend_request: what was sent.
    :param upstream: the answer that has begun.
    """

    job: Job
    backend_request: BackendRequest
    upstream: routes.Upstream


async def answer_whole(exchange: Exchange) -> Response:
    """Answer at once what the engine answered at once.

    :param exchange: the order and its begun answer.
    :returns: the answer, after its bill is durable.
    :raises RefusedError: when the engine's answer broke off.
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
        # An answer of this kind without usage is the engine's word that the
        # order made no sense; else what is not reported is charged in full.
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
    """Answer piece by piece.

    :param exchange: the order and its begun answer.
    :returns: the answer; its end marker waits for the bill.
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
            'relay: {} cut: {!r}', exchange.backend_request.service, error
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
    # Tokens may have been made that nobody has seen: the budget is charged
    # in full, the bill names what was delivered.
    billed = min(
        backend_request.token_limit,
        backend_request.prompt_token_limit + progress.relayed_events,
    )
    background.run_in_background(
        exchange.job.finish(Outcome(backend_request.token_limit, billed, CUT))
    )
