"""Who asks, for what, and whether there is room for another request."""

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

#: Requests of one workspace in progress at one router, where not set.
DEFAULT_CONCURRENT_REQUESTS: Final = 512
#: Requests in progress at one router at most.
MAX_INFLIGHT: Final = 4096
#: Seconds after which a caller that was refused for load should come back.
BUSY_RETRY_AFTER_S: Final = 2
#: Seconds after which a router that just started should be ready.
READY_RETRY_AFTER_S: Final = 3
#: Seconds after which a caller that met a stopping router may try another: the
#: least that the field can say.
STOPPING_RETRY_AFTER_S: Final = 1


def find_configuration(board: Blackboard) -> Configuration:
    """Find the configuration in force.

    :param board: the blackboard.
    :returns: the configuration.
    :raises RefusedError: when there is none yet.
    """
    if board.rules.revision is None:
        text = 'No configuration is in force yet.'
        raise RefusedError(
            Refusal(Code.not_ready, text, retry_after=READY_RETRY_AFTER_S)
        )
    return board.rules.revision.configuration


def find_workspace(board: Blackboard, headers: Headers) -> WorkspaceSpec:
    """Find whose key a request carries.

    :param board: the blackboard.
    :param headers: of the request.
    :returns: the workspace.
    :raises RefusedError: when there is none.
    """
    digest = hash_bearer(headers)
    found = None
    for workspace in find_configuration(board)['workspaces']:
        # All are compared, so that the time taken tells nothing.
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
    """Read what the headers ask for.

    :param board: the blackboard.
    :param workspace: who asks.
    :param request: the caller's request, with the id given to it.
    :param safe: whether it may be repeated unless marked otherwise.
    :returns: the request.
    :raises RefusedError: when a header makes no sense.
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
    """Check that one more request may run, and will end before the router.

    :param board: the blackboard.
    :param workspace: who asks.
    :param context: the request.
    :raises RefusedError: when too many are in progress, or this router is
        stopping and could cut the request off.
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
