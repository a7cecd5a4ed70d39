"""HTTP API for callers (docs/api.md)."""

import uuid
from collections.abc import Awaitable, Callable
from typing import Final

import logbook
from starlette import applications, routing
from starlette.requests import Request
from starlette.responses import Response

from dykemast._internal.network.metrics import Metrics
from dykemast._internal.path import bodies, calls, chat, entries, refusals
from dykemast._internal.path.backend_requests import CHAT_PATH
from dykemast._internal.path.parts import Parts, RefusedError
from dykemast._internal.utils.clock import read_clock

_log = logbook.Logger('caller')

_METHODS: Final = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE')

Serve = Callable[[Parts, Request, bytes], Awaitable[Response]]


def make_caller_app(parts: Parts, metrics: Metrics) -> applications.Starlette:
    """Make the ASGI application that serves callers.

    :param parts: shared components of the router.
    :param metrics: metrics to update.
    :returns: the application.
    """

    def guard(serve: Serve) -> Callable[[Request], Awaitable[Response]]:
        async def guarded(request: Request) -> Response:
            request.state.request_id = uuid.uuid4().hex
            started = read_clock()
            try:
                answer = await _serve(parts, request, serve)
            except RefusedError as error:
                _log.info('caller: refused: {}', error)
                metrics.refusals.inc({'code': error.refusal.code.value})
                name = request.state.request_id
                return refusals.answer_refusal(error.refusal, name)
            metrics.first_byte.observe({}, read_clock() - started)
            return answer

        return guarded

    call = guard(calls.serve_call)
    return applications.Starlette(
        routes=[
            routing.Route('/v1/entry', guard(entries.serve_entry)),
            routing.Route('/v1/models', guard(entries.serve_models)),
            routing.Route(CHAT_PATH, guard(chat.serve_chat), methods=['POST']),
            routing.Route(
                '/services/{service}/{path:path}', call, methods=list(_METHODS)
            ),
            routing.Route('/health/live', guard(entries.serve_live)),
            routing.Route('/health/ready', guard(entries.serve_ready)),
        ],
    )


async def _serve(parts: Parts, request: Request, serve: Serve) -> Response:
    return await serve(parts, request, await bodies.read_body(request))
