"""Administration API for operators, on a separate address (docs/api.md)."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

import msgspec
from starlette import applications, responses, routing
from starlette.requests import Request

from dykemast._internal import exceptions
from dykemast._internal.network import admin_reads, admin_writes
from dykemast._internal.network.admin_parts import (
    AdminParts,
    has_operator_key,
)

Serve = Callable[[AdminParts, Request], Awaitable[Any]]
Endpoint = Callable[[Request], Awaitable[responses.Response]]

#: Path of the configuration.
CONFIGURATION: str = '/admin/configuration'


def make_admin_app(parts: AdminParts) -> applications.Starlette:
    """Make the ASGI application of the administration API.

    :param parts: shared components of the router.
    :returns: the application.
    """

    def guard(serve: Serve) -> Endpoint:
        async def guarded(request: Request) -> responses.Response:
            return await _serve_guarded(parts, request, serve)

        return guarded

    async def serve_metrics(_: Request) -> responses.Response:
        return responses.Response(parts.render(), media_type='text/plain')

    submit = guard(admin_writes.submit)
    compare = guard(admin_writes.compare_with_newest)
    return applications.Starlette(
        routes=[
            routing.Route('/metrics', serve_metrics),
            routing.Route(
                '/admin/check', guard(admin_writes.check), methods=['POST']
            ),
            routing.Route(CONFIGURATION, guard(admin_reads.read_configuration)),
            routing.Route(CONFIGURATION, submit, methods=['POST']),
            routing.Route('/admin/compare', compare, methods=['POST']),
            routing.Route(
                '/admin/topups', guard(admin_writes.top_up), methods=['POST']
            ),
            routing.Route('/admin/budgets', guard(admin_reads.read_budgets)),
            routing.Route('/admin/bills', guard(admin_reads.read_bills)),
            routing.Route('/admin/fleet', guard(admin_reads.read_fleet)),
        ],
    )


async def _serve_guarded(
    parts: AdminParts,
    request: Request,
    serve: Serve,
) -> responses.Response:
    if not has_operator_key(parts, request):
        text = 'Send "Authorization: Bearer OPERATOR_KEY".'
        return _answer_error(HTTPStatus.UNAUTHORIZED, text)
    try:
        answer = await serve(parts, request)
    except (exceptions.DykemastError, msgspec.MsgspecError) as error:
        return _answer_failure(error)
    body = msgspec.json.encode(answer)
    return responses.Response(body, media_type='application/json')


def _answer_failure(error: Exception) -> responses.Response:
    if isinstance(error, exceptions.InvalidFileError):
        found = [finding._asdict() for finding in error.findings]
        status = HTTPStatus.UNPROCESSABLE_ENTITY
        return responses.JSONResponse({'findings': found}, status)
    if isinstance(error, exceptions.StaleRevisionError):
        return _answer_error(HTTPStatus.CONFLICT, str(error))
    if isinstance(error, msgspec.MsgspecError):
        return _answer_error(HTTPStatus.UNPROCESSABLE_ENTITY, str(error))
    return _answer_error(HTTPStatus.SERVICE_UNAVAILABLE, str(error))


def _answer_error(status: HTTPStatus, text: str) -> responses.Response:
    return responses.JSONResponse({'error': {'message': text}}, status)
