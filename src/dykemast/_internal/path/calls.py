"""Calls of plain services, forwarded unchanged."""

from typing import Any, Final

from starlette.requests import Request
from starlette.responses import Response

from dykemast._internal.models import requests
from dykemast._internal.models.revisions import ServiceSpec, WorkspaceSpec
from dykemast._internal.path import admission, choices, backend_requests
from dykemast._internal.path.call_answers import pass_on
from dykemast._internal.path.claims import claim
from dykemast._internal.path.jobs import Job
from dykemast._internal.path.parts import Parts, RefusedError
from dykemast._internal.path.replays import replay

_SAFE_METHODS: Final = frozenset(('GET', 'HEAD', 'OPTIONS'))


async def serve_call(parts: Parts, request: Request, body: bytes) -> Response:
    """Serve one call of a plain service.

    :param parts: shared components of the router.
    :param request: the caller's request.
    :param body: its body.
    :returns: the service's response, or a recorded one.
    :raises RefusedError: when it is refused.
    """
    workspace = admission.find_workspace(parts.board, request.headers)
    safe = request.method in _SAFE_METHODS
    context = admission.make_request_context(
        parts.board, workspace['name'], request, safe=safe
    )
    service = _find_service(parts, request.path_params['service'])
    backend_request = _make_backend_request(service, request)._replace(
        body=body
    )
    admission.check_capacity(parts.board, workspace, context)
    return await _run_job(
        parts, Job(parts, context), backend_request, workspace
    )


def _find_service(parts: Parts, name: str) -> ServiceSpec:
    configuration = admission.find_configuration(parts.board)
    for service in configuration['services']:
        if service['name'] == name and service['kind'] == 'plain':
            return service
    text = 'There is no such plain service.'
    raise RefusedError(requests.Refusal(requests.Code.not_found, text))


def _make_backend_request(
    service: ServiceSpec, request: Request
) -> requests.BackendRequest:
    path = '/{}'.format(request.path_params['path'])
    if request.url.query:
        path = '{}?{}'.format(path, request.url.query)
    return backend_requests.make_call_request(
        service, path, request.method, request.headers
    )


async def _run_job(
    parts: Parts,
    job: Job,
    backend_request: requests.BackendRequest,
    workspace: WorkspaceSpec,
) -> Response:
    try:
        return await _run(parts, job, backend_request, workspace)
    except BaseException:
        job.release()
        raise


async def _run(
    parts: Parts,
    job: Job,
    backend_request: requests.BackendRequest,
    workspace: WorkspaceSpec,
) -> Response:
    await _prepare(parts, job, backend_request, workspace)
    earlier = (
        None if job.context.repeatable else await claim(parts, job.context)
    )
    if earlier is None:
        return await pass_on(parts, job, backend_request)
    job.release()
    return replay(earlier)


async def _prepare(
    parts: Parts,
    job: Job,
    backend_request: requests.BackendRequest,
    workspace: WorkspaceSpec,
) -> None:
    choices.check_journal(parts, job)
    await job.wait_turn()
    seen: dict[str, Any] = {
        'model': backend_request.service,
        'budget': job.context.budget,
        'method': backend_request.method,
        'repeatable': job.context.repeatable,
        'bytes': len(backend_request.body),
    }
    configuration = admission.find_configuration(parts.board)
    choice = choices.choose(parts, configuration, workspace, seen)
    if backend_request.token_limit:
        job.hold = await choices.hold_first_available(
            parts, job.context, choice, backend_request.token_limit
        )
