"""Calls of plain services, passed on as they are."""

from typing import Any, Final

from starlette.requests import Request
from starlette.responses import Response

from dykemast._internal.models import requests
from dykemast._internal.models.revisions import ServiceSpec, WorkspaceSpec
from dykemast._internal.path import admission, choices, orders
from dykemast._internal.path.call_answers import pass_on
from dykemast._internal.path.claims import claim
from dykemast._internal.path.jobs import Job
from dykemast._internal.path.parts import Parts, RefusedError
from dykemast._internal.path.replays import replay

_SAFE_METHODS: Final = frozenset(('GET', 'HEAD', 'OPTIONS'))


async def serve_call(parts: Parts, request: Request, body: bytes) -> Response:
    """Serve one call of a plain service.

    :param parts: parts of the router.
    :param request: the caller's request.
    :param body: its body.
    :returns: the service's answer, or a recorded one.
    :raises RefusedError: when it is refused.
    """
    workspace = admission.find_workspace(parts.board, request.headers)
    safe = request.method in _SAFE_METHODS
    ask = admission.make_ask(parts.board, workspace['name'], request, safe=safe)
    service = _find_service(parts, request.path_params['service'])
    order = _make_order(service, request)._replace(body=body)
    admission.check_room(parts.board, workspace, ask)
    return await _run_job(parts, Job(parts, ask), order, workspace)


def _find_service(parts: Parts, name: str) -> ServiceSpec:
    configuration = admission.find_configuration(parts.board)
    for service in configuration['services']:
        if service['name'] == name and service['kind'] == 'plain':
            return service
    text = 'There is no such plain service.'
    raise RefusedError(requests.Refusal(requests.Code.not_found, text))


def _make_order(service: ServiceSpec, request: Request) -> requests.Order:
    path = '/{}'.format(request.path_params['path'])
    if request.url.query:
        path = '{}?{}'.format(path, request.url.query)
    return orders.make_call_order(
        service, path, request.method, request.headers
    )


async def _run_job(
    parts: Parts,
    job: Job,
    order: requests.Order,
    workspace: WorkspaceSpec,
) -> Response:
    try:
        return await _run(parts, job, order, workspace)
    except BaseException:
        job.release()
        raise


async def _run(
    parts: Parts,
    job: Job,
    order: requests.Order,
    workspace: WorkspaceSpec,
) -> Response:
    await _prepare(parts, job, order, workspace)
    earlier = None if job.ask.repeatable else await claim(parts, job.ask)
    if earlier is None:
        return await pass_on(parts, job, order)
    job.release()
    return replay(earlier)


async def _prepare(
    parts: Parts,
    job: Job,
    order: requests.Order,
    workspace: WorkspaceSpec,
) -> None:
    choices.check_journal(parts, job)
    await job.wait_turn()
    seen: dict[str, Any] = {
        'model': order.service,
        'budget': job.ask.budget,
        'method': order.method,
        'repeatable': job.ask.repeatable,
        'bytes': len(order.body),
    }
    configuration = admission.find_configuration(parts.board)
    choice = choices.choose(parts, configuration, workspace, seen)
    if order.bound:
        job.hold = await choices.hold_first(parts, job.ask, choice, order.bound)
