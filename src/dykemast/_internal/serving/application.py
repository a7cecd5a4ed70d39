"""ASGI application: the way of each request."""

import time
from collections.abc import Awaitable, Callable
from typing import Any, Final

from dykemast._internal.models.routing_table import RouteKind
from dykemast._internal.platform.request_headers import find_request_id
from dykemast._internal.serving.admission import admit
from dykemast._internal.serving import plain_calls, records, stream_requests
from dykemast._internal.serving.parts import Parts
from dykemast._internal.serving.strain import sheds_callers
from dykemast._internal.serving.ticket import Ticket
from dykemast._internal.serving.refusals import RefusedError
from dykemast._internal.serving.responder import (
    Receive,
    Responder,
    Send,
    read_body,
    run_until_left,
)

Application = Callable[[Any, Receive, Send], Awaitable[None]]

#: Bytes of a body that are read while no configuration says how many.
DEFAULT_BODY_LIMIT: Final = 1_048_576


def make_application(parts: Parts) -> Application:
    """Make the application that callers meet.

    :param parts: parts of the program.
    :returns: the ASGI application.
    """

    async def application(scope: Any, receive: Receive, send: Send) -> None:
        responder = Responder(send, lambda: sheds_callers(parts.board))
        started = time.monotonic()
        parts.board.inflight += 1
        parts.board.arrivals.note(1, started)
        try:
            await _serve(parts, scope, receive, responder)
        except RefusedError as error:
            records.note_refusal(parts, error, find_request_id(scope), started)
            await responder.refuse(error)
        except ConnectionError as error:
            records.log_left(find_request_id(scope), error)
        finally:
            parts.board.inflight -= 1

    return application


async def _serve(
    parts: Parts,
    scope: Any,
    receive: Receive,
    responder: Responder,
) -> None:
    body = await read_body(receive, _limit_body(parts))
    ticket = admit(parts.board, scope)
    records.log_admitted(ticket)
    served = await run_until_left(_run(parts, ticket, body, responder), receive)
    records.note_end(parts, ticket, 'served' if served else 'caller_left')


def _limit_body(parts: Parts) -> int:
    table = parts.board.table
    return table.limits.body_bytes if table else DEFAULT_BODY_LIMIT


async def _run(
    parts: Parts,
    ticket: Ticket,
    body: bytes,
    responder: Responder,
) -> None:
    if ticket.route.kind is RouteKind.stream:
        await stream_requests.serve_stream(parts, ticket, body, responder)
    else:
        await plain_calls.serve_plain(parts, ticket, body, responder)
