"""ASGI application: the way of each request."""

import time
from collections.abc import Awaitable, Callable
from typing import Any, Final

from dykemast._internal.exceptions import DykemastError
from dykemast._internal.models.routing_table import RouteKind
from dykemast._internal.platform.headers import find_request_id
from dykemast._internal.serving.accounts import Hold
from dykemast._internal.serving.admission import admit
from dykemast._internal.serving.event_streams import EventStream
from dykemast._internal.serving.parts import Parts, Ticket
from dykemast._internal.serving.plain_calls import serve_plain
from dykemast._internal.serving.refusals import RefusedError
from dykemast._internal.serving.responder import (
    Receive,
    Responder,
    Send,
    read_body,
    run_until_left,
)
from dykemast._internal.utils.events import make_logger

_log = make_logger('request')

Application = Callable[[Any, Receive, Send], Awaitable[None]]

#: Bytes of a body that are read while no configuration says how many.
DEFAULT_BODY_LIMIT: Final = 1_048_576


class AnswerCutError(DykemastError):
    """An answer cannot be finished: its connection has to be cut."""


def make_application(parts: Parts) -> Application:
    """Make the application that callers meet.

    :param parts: parts of the program.
    :returns: the ASGI application.
    """

    async def application(scope: Any, receive: Receive, send: Send) -> None:
        responder = Responder(send, lambda: parts.board.stopping)
        parts.board.inflight += 1
        started = time.monotonic()
        try:
            await _serve(parts, scope, receive, responder)
        except RefusedError as error:
            await _refuse(parts, responder, error, scope, started)
        except ConnectionError as error:
            _log('caller_left', reason=str(error))
        finally:
            parts.board.inflight -= 1

    return application


async def _serve(
    parts: Parts,
    scope: Any,
    receive: Receive,
    responder: Responder,
) -> None:
    table = parts.board.table
    limit = table.limits.body_bytes if table else DEFAULT_BODY_LIMIT
    body = await read_body(receive, limit)
    ticket = admit(parts, scope)
    request = ticket.request
    _log(
        'admitted',
        request=request.request_id,
        route=ticket.route.name,
        service=ticket.service.name,
        workspace=ticket.workspace.name if ticket.workspace else None,
        version=ticket.version,
        tokens=request.prompt_tokens + request.output_tokens,
        left_s=round(ticket.deadline - ticket.started, 3),
    )
    served = await run_until_left(_run(parts, ticket, body, responder), receive)
    _note_end(parts, ticket, 'served' if served else 'caller_left')


async def _run(
    parts: Parts,
    ticket: Ticket,
    body: bytes,
    responder: Responder,
) -> None:
    if ticket.route.kind is RouteKind.stream:
        await _run_stream(parts, ticket, body, responder)
    else:
        await serve_plain(parts, ticket, body, responder)


async def _run_stream(
    parts: Parts,
    ticket: Ticket,
    body: bytes,
    responder: Responder,
) -> None:
    hold = await _hold_tokens(parts, ticket)
    stream = EventStream(parts, ticket, body, responder)
    try:
        await stream.serve()
    finally:
        if hold:
            used = stream.count_used()
            parts.budgets.settle(hold, used)
            parts.meters.tokens.add({'state': 'consumed'}, used)
        if stream.first_event_at:
            parts.meters.first_byte.observe(
                {'kind': 'stream'}, stream.first_event_at - ticket.started
            )


async def _hold_tokens(parts: Parts, ticket: Ticket) -> Hold | None:
    workspace = ticket.workspace
    if workspace is None or workspace.prepaid is None:
        return None
    tokens = ticket.request.prompt_tokens + ticket.request.output_tokens
    hold = await parts.budgets.hold(workspace, tokens)
    parts.meters.tokens.add({'state': 'held'}, tokens)
    return hold


async def _refuse(
    parts: Parts,
    responder: Responder,
    error: RefusedError,
    scope: Any,
    started: float,
) -> None:
    parts.meters.refusals.inc({'code': error.code.name})
    _log(
        'cut' if responder.begun else 'refused',
        request=find_request_id(scope),
        code=error.code.name,
        status=error.code.value.status,
        after_s=round(time.monotonic() - started, 3),
        **error.details,
    )
    if responder.begun:
        raise AnswerCutError(str(error)) from error
    await responder.refuse(error)


def _note_end(parts: Parts, ticket: Ticket, outcome: str) -> None:
    took = time.monotonic() - ticket.started
    kind = ticket.route.kind.value
    parts.meters.requests.inc({'kind': kind, 'outcome': outcome})
    parts.meters.whole.observe({'kind': kind}, took)
    _log(
        outcome,
        request=ticket.request.request_id,
        route=ticket.route.name,
        took_s=round(took, 3),
    )
