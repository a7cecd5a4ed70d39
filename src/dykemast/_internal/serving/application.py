"""ASGI application: the way of each request."""

import time
from collections.abc import Awaitable, Callable
from typing import Any, Final

from dykemast._internal.models.routing_table import RouteKind
from dykemast._internal.platform.request_headers import find_request_id
from dykemast._internal.serving.admission import admit
from dykemast._internal.serving.parts import Parts, Ticket
from dykemast._internal.serving.plain_calls import serve_plain
from dykemast._internal.serving.records import (
    log_admitted,
    note_end,
    note_refusal,
)
from dykemast._internal.serving.refusals import RefusedError
from dykemast._internal.serving.responder import (
    Receive,
    Responder,
    Send,
    read_body,
    run_until_left,
)
from dykemast._internal.serving.stream_requests import serve_stream
from dykemast._internal.utils.events import make_logger

_log = make_logger('request')

Application = Callable[[Any, Receive, Send], Awaitable[None]]

#: Bytes of a body that are read while no configuration says how many.
DEFAULT_BODY_LIMIT: Final = 1_048_576


def make_application(parts: Parts) -> Application:
    """Make the application that callers meet.

    :param parts: parts of the program.
    :returns: the ASGI application.
    """

    async def application(scope: Any, receive: Receive, send: Send) -> None:
        responder = Responder(send, lambda: parts.board.stopping)
        started = time.monotonic()
        parts.board.inflight += 1
        try:
            await _serve(parts, scope, receive, responder)
        except RefusedError as error:
            note_refusal(parts, error, find_request_id(scope), started)
            await responder.refuse(error)
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
    ticket = admit(parts.board, scope)
    log_admitted(ticket)
    work = _run(parts, ticket, body, responder)
    served = await run_until_left(work, receive)
    note_end(parts, ticket, 'served' if served else 'caller_left')


async def _run(
    parts: Parts,
    ticket: Ticket,
    body: bytes,
    responder: Responder,
) -> None:
    if ticket.route.kind is RouteKind.stream:
        await serve_stream(parts, ticket, body, responder)
    else:
        await serve_plain(parts, ticket, body, responder)
