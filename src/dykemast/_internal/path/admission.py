"""Authenticate and admit requests, and read their headers."""

from typing import Final

from starlette.datastructures import Headers
from starlette.requests import Request

from dykemast._internal.blackboard import Blackboard
from dykemast._internal.models.requests import (
    RequestContext,
    Code,
    Ran,
    Refusal,
)
from dykemast._internal.models.revisions import Configuration, WorkspaceSpec
from dykemast._internal.operations.policies import DEFAULT_BUDGET
from dykemast._internal.path import header_fields as fields
from dykemast._internal.path.parts import RefusedError
from dykemast._internal.path.retry_age import is_too_old
from dykemast._internal.utils.clock import (
    read_clock,
    read_time_of_day,
)
from dykemast._internal.utils.keys import hash_bearer, digests_match

#: Requests of one workspace in progress at one router, by default.
DEFAULT_CONCURRENT_REQUESTS: Final = 512
MAX_INFLIGHT: Final = 4096
#: Retry-After of refusals for load.
BUSY_RETRY_AFTER_S: Final = 2
#: Retry-After while a router starts.
READY_RETRY_AFTER_S: Final = 3
#: Retry-After of a stopping router: the least that the field can express, as
#: other routers can serve the request at once.
STOPPING_RETRY_AFTER_S: Final = 1


def find_configuration(board: Blackboard) -> Configuration:
    """Get the configuration in force.

    :param board: shared state of the router.
    :returns: the configuration.
    :raises RefusedError: when none is in force yet.
    """
    if board.rules.revision is None:
        text = 'No configuration is in force yet.'
        raise RefusedError(
            Refusal(Code.not_ready, text, retry_after=READY_RETRY_AFTER_S)
        )
    return board.rules.revision.configuration


def find_workspace(board: Blackboard, headers: Headers) -> WorkspaceSpec:
    """Find the workspace whose key a request carries.

    :param board: shared state of the router.
    :param headers: of the request.
    :returns: the workspace.
    :raises RefusedError: when no workspace has the key.
    """
    digest = hash_bearer(headers)
    found = None
    for workspace in find_configuration(board)['workspaces']:
        # Compares all, so that the time taken does not reveal a match.
        if digests_match(digest, workspace['key_sha256']):
            found = workspace
    if found is None:
        text = 'No workspace has this key; send "Authorization: Bearer KEY".'
        raise RefusedError(Refusal(Code.bad_key, text))
    return found


def make_request_context(
    board: Blackboard,
    workspace: str,
    request: Request,
    *,
    safe: bool,
) -> RequestContext:
    """Make the context of a request from its headers.

    :param board: shared state of the router.
    :param workspace: name of the caller's workspace.
    :param request: the caller's request, with its assigned id.
    :param safe: whether it may be repeated unless a header says otherwise.
    :returns: the request context.
    :raises RefusedError: when a header is invalid or the request too old.
    """
    headers = request.headers
    name = request.state.request_id
    key = headers.get('idempotency-key', name)
    order_key = headers.get('x-order-key', '')
    if not fields.is_key(key) or not fields.is_key(order_key):
        text = (
            f'Idempotency-Key and X-Order-Key take {fields.MAX_KEY} characters.'
        )
        raise RefusedError(Refusal(Code.bad_request, text))
    _check_age(board, headers, key)
    return RequestContext(
        request=name,
        workspace=workspace,
        key=key,
        repeatable=fields.read_repeatable(headers, safe=safe),
        deadline=read_clock() + fields.read_deadline(headers),
        order_key=f'{workspace}|{order_key}' if order_key else '',
        budget=headers.get('x-budget', DEFAULT_BUDGET),
    )


def check_capacity(
    board: Blackboard, workspace: WorkspaceSpec, context: RequestContext
) -> None:
    """Check that one more request may run and ends before a planned stop.

    :param board: shared state of the router.
    :param workspace: the caller's workspace.
    :param context: the request context.
    :raises RefusedError: when too many are in progress, or this router is
        stopping and could cancel the request.
    """
    traffic = board.traffic
    plan = traffic.stop_plan
    if plan and not plan.may_admit(read_clock(), context.deadline, usual=0):
        text = 'This router is stopping; ask /v1/entry for others.'
        raise RefusedError(
            Refusal(Code.stopping, text, retry_after=STOPPING_RETRY_AFTER_S)
        )
    if traffic.inflight >= MAX_INFLIGHT:
        text = 'This router is full; ask /v1/entry for others.'
        raise RefusedError(
            Refusal(Code.too_busy, text, retry_after=BUSY_RETRY_AFTER_S)
        )
    limit = workspace.get('concurrent', DEFAULT_CONCURRENT_REQUESTS)
    if traffic.by_workspace.get(workspace['name'], 0) >= limit:
        text = f'The workspace has {limit} requests in progress here.'
        raise RefusedError(
            Refusal(Code.too_busy, text, retry_after=BUSY_RETRY_AFTER_S)
        )


def _check_age(board: Blackboard, headers: Headers, key: str) -> None:
    window = board.settings.get('retry_window', 0)
    if is_too_old(headers, key, read_time_of_day() - window):
        text = f'First sent over {window} s ago: look before asking again.'
        raise RefusedError(Refusal(Code.too_old, text, Ran.unknown))
