"""Serve chat completions."""

from typing import Any

import logbook
from starlette.requests import Request
from starlette.responses import Response

from dykemast._internal.models.requests import Code, BackendRequest, Refusal
from dykemast._internal.models.revisions import Configuration, WorkspaceSpec
from dykemast._internal.path import admission, choices, backend_requests, routes
from dykemast._internal.path.chat_answers import (
    Exchange,
    answer_stream,
    answer_whole,
)
from dykemast._internal.path.candidates import list_candidates
from dykemast._internal.path.chat_bodies import read_chat
from dykemast._internal.path.jobs import Job
from dykemast._internal.path.parts import Parts, RefusedError

_log = logbook.Logger('policy')


async def serve_chat(parts: Parts, request: Request, body: bytes) -> Response:
    """Serve one chat completion.

    :param parts: shared components of the router.
    :param request: the caller's request.
    :param body: its body.
    :returns: the response, streamed or complete.
    :raises RefusedError: when it is refused.
    """
    workspace = admission.find_workspace(parts.board, request.headers)
    context = admission.make_request_context(
        parts.board, workspace['name'], request, safe=True
    )
    fields = read_chat(body)
    admission.check_capacity(parts.board, workspace, context)
    job = Job(parts, context)
    try:
        exchange = await _begin(parts, job, fields, workspace)
    except BaseException:
        job.release()
        raise
    if fields.get('stream'):
        return answer_stream(exchange)
    return await answer_whole(exchange)


async def _begin(
    parts: Parts,
    job: Job,
    fields: dict[str, Any],
    workspace: WorkspaceSpec,
) -> Exchange:
    choices.check_journal(parts, job)
    await job.wait_turn()
    seen = {
        'model': fields['model'],
        'budget': job.context.budget,
        'stream': bool(fields.get('stream')),
        'repeatable': job.context.repeatable,
        'bytes': len(str(fields['messages'])),
    }
    configuration = admission.find_configuration(parts.board)
    choice = choices.choose(parts, configuration, workspace, seen)
    backend_request = _choose_model(parts, configuration, choice, fields)
    job.hold = await choices.hold_first_available(
        parts, job.context, choice, backend_request.token_limit
    )
    return Exchange(
        job,
        backend_request,
        await routes.send_backend_request(parts, job, backend_request),
    )


def _choose_model(
    parts: Parts,
    configuration: Configuration,
    choice: choices.Choice,
    fields: dict[str, Any],
) -> BackendRequest:
    """Make a request for the first chosen model that a server has."""
    models = {model['name']: model for model in configuration['models']}
    made = [
        backend_requests.make_chat_request(
            fields, models[name], choice.decision.priority
        )
        for name in choice.decision.models
        if name in models
    ]
    if not made:
        text = 'There is no such model; see /v1/models.'
        raise RefusedError(Refusal(Code.not_found, text))
    for backend_request in made:
        if list_candidates(parts, backend_request):
            return backend_request
        _log.info(
            'policy: no backend server has model {}; trying the next one.',
            backend_request.model,
        )
    return made[0]
