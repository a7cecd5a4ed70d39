"""Admission of a request: its route, service, workspace and deadline."""

import random
from typing import Any

from dykemast._internal.models.caller_request import CallerRequest
from dykemast._internal.models.routing_table import Route, Share
from dykemast._internal.platform.caller_fields import is_engine_call
from dykemast._internal.platform.request_headers import decode_request
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.admission.in_progress import check_stop
from dykemast._internal.serving.admission.lookups import (
    find_route,
    find_table,
    find_workspace,
)
from dykemast._internal.serving.requests.admitted_request import AdmittedRequest
from dykemast._internal.serving.requests.refusals import (
    RefusalCode,
    RefusedError,
)
from dykemast._internal.utils.clock import read_clock


def admit(board: ServingBoard, scope: Any, started: float) -> AdmittedRequest:
    """Admit a request.

    :param board: the blackboard.
    :param scope: ASGI scope of the request.
    :param started: seconds at which its head arrived: the caller's deadline
        runs while its body is read.
    :returns: the request with its route, service, workspace and deadline.
    :raises RefusedError: when it is not admitted.
    """
    request = _decode(scope)
    table = find_table(board)
    route = find_route(board, table, request)
    admitted = AdmittedRequest(
        request=_restrict_resumption(request, route),
        route=route,
        service=table.services[_draw_service(route.shares)],
        workspace=find_workspace(board, table, route, request),
        started=started,
        deadline=started + _compute_timeout(request, route),
        version=table.version,
    )
    _check_path(admitted)
    _check_time_left(admitted)
    check_stop(board, admitted)
    return admitted


def _check_path(admitted: AdmittedRequest) -> None:
    if admitted.service.engine and is_engine_call(admitted.request.path):
        details = {
            'path': admitted.request.path,
            'reason': 'this path is reserved for calls from routers',
        }
        raise RefusedError(RefusalCode.no_route, details)


def _check_time_left(admitted: AdmittedRequest) -> None:
    now = read_clock()
    if admitted.deadline > now:
        return
    details = {'body_s': round(now - admitted.started, 3)}
    raise RefusedError(RefusalCode.too_late, details)


def _decode(scope: Any) -> CallerRequest:
    try:
        request = decode_request(scope)
    except ValueError as error:
        details = {'reason': str(error)}
        raise RefusedError(RefusalCode.malformed, details) from error
    if not request.request_id:
        raise RefusedError(
            RefusalCode.malformed, {'reason': 'the request has no id'}
        )
    return request


def _restrict_resumption(request: CallerRequest, route: Route) -> CallerRequest:
    """Remove what resumes a stream, unless those of the route are resumable."""
    if route.resumable:
        return request
    return request._replace(last_event_id='', first_request_id='')


def _compute_timeout(request: CallerRequest, route: Route) -> float:
    if request.timeout_s is None:
        return route.timeout
    return min(request.timeout_s, route.timeout)


def _draw_service(shares: tuple[Share, ...]) -> str:
    weights = [share.weight for share in shares]
    return random.choices(shares, weights)[0].service
