"""ASGI application for requests of callers."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Final

from dykemast._internal.platform.request_headers import find_request_id
from dykemast._internal.serving.admission.admission import admit
from dykemast._internal.serving.admission.in_progress import (
    track_body,
    track_request,
)
from dykemast._internal.serving.process import request_records
from dykemast._internal.serving.relay import dispatch, exchange
from dykemast._internal.serving.parts import Parts
from dykemast._internal.serving.members.load_measurement import (
    should_close_connections,
)
from dykemast._internal.serving.requests.refusals import (
    RefusalCode,
    RefusedError,
)
from dykemast._internal.serving.requests.responder import (
    Receive,
    Responder,
    Send,
    read_body,
    run_until_disconnect,
)
from dykemast._internal.utils.clock import read_clock

Application = Callable[[Any, Receive, Send], Awaitable[None]]

#: Applies while no configuration is loaded.
DEFAULT_BODY_LIMIT_BYTES: Final = 1_048_576


def make_application(parts: Parts) -> Application:
    """Make the application that serves callers.

    :param parts: parts of the program.
    :returns: the ASGI application.
    """

    async def application(scope: Any, receive: Receive, send: Send) -> None:
        responder = Responder(
            send, lambda: should_close_connections(parts.board)
        )
        started = read_clock()
        parts.board.inflight += 1
        parts.board.arrivals.record(1, started)
        try:
            with request_records.record_failure(parts, scope):
                await _serve(parts, scope, receive, responder, started)
        except RefusedError as error:
            request_records.record_refusal(
                parts, error, find_request_id(scope), started
            )
            await responder.refuse(error)
        except ConnectionError as error:
            request_records.log_disconnect(find_request_id(scope), error)
        except asyncio.CancelledError:
            # Only the stop of this router cancels requests.
            cancelled = request_records.CancelledRequest(
                find_request_id(scope), started, responder.begun
            )
            request_records.record_cancelled(parts, cancelled)
            await responder.refuse(RefusedError(RefusalCode.cut_by_stop))
        finally:
            parts.board.inflight -= 1

    return application


async def _serve(
    parts: Parts,
    scope: Any,
    receive: Receive,
    responder: Responder,
    started: float,
) -> None:
    with track_body(parts.board):
        body = await read_body(receive, _limit_body(parts))
    admitted = admit(parts.board, scope, started)
    request_records.log_admitted(admitted, _describe_connection(scope))
    with track_request(parts.board, admitted):
        opened = exchange.open_exchange(parts, admitted, body, responder)
        served = await run_until_disconnect(dispatch.serve(opened), receive)
    outcome = request_records.SERVED if served else 'caller_left'
    request_records.record_end(parts, admitted, outcome)


def _describe_connection(scope: Any) -> str:
    host, port = scope.get('client') or ('', 0)
    return f'{host}:{port}'


def _limit_body(parts: Parts) -> int:
    table = parts.board.table
    return table.limits.body_bytes if table else DEFAULT_BODY_LIMIT_BYTES
