"""Make requests to backend servers from callers' requests."""

import json
from typing import Any, Final

from starlette.datastructures import Headers

from dykemast._internal.models.requests import BackendRequest
from dykemast._internal.models.revisions import ModelSpec, ServiceSpec
from dykemast._internal.operations.rendezvous import hash_text
from dykemast._internal.path.chat_bodies import refuse_bad
from dykemast._internal.platform.names import HOP_BY_HOP_HEADERS

#: Path of chat completions, at routers and at engines.
CHAT_PATH: Final = '/v1/chat/completions'
#: Upper bound of what an engine's template adds to a prompt.
TEMPLATE_TOKENS: Final = 64
#: Upper bound of what it adds for each message.
MESSAGE_TOKENS: Final = 16
#: Leading characters of a prompt that decide which server has it cached.
PREFIX_CHARACTERS: Final = 512
_OUTPUT_LIMITS: Final = frozenset(('max_tokens', 'max_completion_tokens'))
#: Headers that are not forwarded: hop-by-hop headers, those for this router,
#: and the fencing number, which only a router may set.
_DROPPED_HEADERS: Final = HOP_BY_HOP_HEADERS.union(
    (
        'authorization',
        'host',
        'idempotency-key',
        'proxy-authenticate',
        'x-budget',
        'x-deadline',
        'x-fencing-number',
        'x-order-key',
        'x-priority',
        'x-repeatable',
        'x-request-id',
    )
)


def make_chat_request(
    fields: dict[str, Any],
    model: ModelSpec,
    priority: int,
) -> BackendRequest:
    """Make the backend request for a model.

    The output limit is always sent, and the prompt cannot have more tokens
    than bytes, so the hold bounds what the engine can consume.

    :param fields: of the caller's request.
    :param model: the model to use.
    :param priority: 0 to 9.
    :returns: the backend request.
    :raises RefusedError: when the caller's output limit is invalid.
    """
    cap = _choose_cap(fields, model)
    sent = _fill_fields(fields, model['name'], cap)
    sent['priority'] = priority
    prompt = _bound_prompt(fields)
    return BackendRequest(
        service=model['service'],
        model=model['name'],
        path=CHAT_PATH,
        method='POST',
        headers={'content-type': 'application/json'},
        body=json.dumps(sent).encode(),
        token_limit=prompt + cap,
        prompt_token_limit=prompt,
        prefix=hash_text(str(fields['messages'])[:PREFIX_CHARACTERS]),
        priority=priority,
    )


def _fill_fields(
    fields: dict[str, Any], model: str, cap: int
) -> dict[str, Any]:
    sent = {name: fields[name] for name in fields if name not in _OUTPUT_LIMITS}
    if fields.get('stream'):
        sent['stream_options'] = {'include_usage': True}
    return {**sent, 'model': model, 'max_tokens': cap}


def _bound_prompt(fields: dict[str, Any]) -> int:
    text = json.dumps(fields, ensure_ascii=False)
    overhead = TEMPLATE_TOKENS + MESSAGE_TOKENS * len(fields['messages'])
    return len(text.encode('utf-8', 'surrogatepass')) + overhead


def make_call_request(
    service: ServiceSpec,
    path: str,
    method: str,
    headers: Headers,
) -> BackendRequest:
    """Make the backend request for a call of a plain service.

    :param service: the service.
    :param path: path and query to call.
    :param method: HTTP method.
    :param headers: of the caller's request.
    :returns: the backend request, without its body.
    """
    dropped = _DROPPED_HEADERS | _list_connection_headers(headers)
    passed = {
        name: text for name, text in headers.items() if name not in dropped
    }
    return BackendRequest(
        service=service['name'],
        model='',
        path=path,
        method=method,
        headers=passed,
        body=b'',
        token_limit=service.get('call_tokens', 0),
    )


def _list_connection_headers(headers: Headers) -> set[str]:
    listed = ','.join(headers.getlist('connection')).lower().split(',')
    return {name.strip() for name in listed}


def _choose_cap(fields: dict[str, Any], model: ModelSpec) -> int:
    caps = [
        fields[name] for name in _OUTPUT_LIMITS if fields.get(name) is not None
    ]
    for cap in caps:
        if not isinstance(cap, int) or isinstance(cap, bool) or cap < 1:
            raise refuse_bad('"max_tokens" is a whole number above 0.')
    return min([model['max_tokens'], *caps])
