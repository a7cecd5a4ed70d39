"""Requests of callers and refusals, as ``dykemast router`` models them."""

import enum
from types import MappingProxyType
from typing import Final, NamedTuple


class Ran(enum.StrEnum):
    """Whether a refused request ran."""

    not_run = 'no'
    did_run = 'yes'
    unknown = 'unknown'


class Code(enum.StrEnum):
    """Reason of a refusal; docs/api.md explains each."""

    bad_request = 'bad_request'
    bad_key = 'bad_key'
    budget_empty = 'budget_empty'
    budget_away = 'budget_away'
    not_allowed = 'not_allowed'
    not_found = 'not_found'
    may_have_run = 'may_have_run'
    already_ran = 'already_ran'
    too_large = 'too_large'
    too_old = 'too_old'
    policy_failed = 'policy_failed'
    too_busy = 'too_busy'
    upstream_failed = 'upstream_failed'
    no_worker = 'no_worker'
    not_ready = 'not_ready'
    stopping = 'stopping'
    platform_away = 'platform_away'
    too_late = 'too_late'


#: HTTP status of each refusal.
STATUSES: Final = MappingProxyType(
    {
        Code.bad_request: 422,
        Code.bad_key: 401,
        Code.budget_empty: 402,
        Code.budget_away: 503,
        Code.not_allowed: 403,
        Code.not_found: 404,
        Code.may_have_run: 409,
        Code.already_ran: 409,
        Code.too_large: 413,
        Code.too_old: 409,
        Code.policy_failed: 422,
        Code.too_busy: 429,
        Code.upstream_failed: 502,
        Code.no_worker: 503,
        Code.not_ready: 503,
        Code.stopping: 503,
        Code.platform_away: 503,
        Code.too_late: 504,
    }
)


class Refusal(NamedTuple):
    """A refusal of a request.

    :param code: the reason.
    :param text: what happened and what to do.
    :param ran: whether the request ran.
    :param retry_after: seconds for the Retry-After header; 0 for no header.
    """

    code: Code
    text: str
    ran: Ran = Ran.not_run
    retry_after: int = 0


class RequestContext(NamedTuple):
    """Data on a request besides what is sent to a backend server.

    :param request: id made by the router.
    :param workspace: workspace of the caller.
    :param key: idempotency key, from the caller or else the request id.
    :param repeatable: whether the request may safely run twice.
    :param deadline: time by which it has to end, in seconds of ``read_clock``.
    :param order_key: requests with the same non-empty key run in order.
    :param budget: budget that the caller names; the policy may choose others.
    """

    request: str
    workspace: str
    key: str
    repeatable: bool
    deadline: float
    order_key: str = ''
    budget: str = 'main'


class BackendRequest(NamedTuple):
    """A request to a backend server.

    :param service: name of the service.
    :param model: name of the model; empty for a plain service.
    :param path: path and query at the server.
    :param method: HTTP method.
    :param headers: end-to-end headers to forward.
    :param body: bytes to send.
    :param token_limit: bound on the tokens that it can consume.
    :param prompt_token_limit: part of that bound for the prompt.
    :param prefix: hash of the prompt's leading part, for cache affinity.
    :param priority: 0 to 9, 9 most urgent.
    """

    service: str
    model: str
    path: str
    method: str
    headers: dict[str, str]
    body: bytes
    token_limit: int
    prompt_token_limit: int = 0
    prefix: int = 0
    priority: int = 5
