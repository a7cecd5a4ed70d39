"""HTTP client that sends requests to the routers of a fleet."""

import json
from types import MappingProxyType
from typing import Any, NamedTuple
from urllib import error as url_error
from urllib import request as url_request

from tools.fleet import Fleet
from tools.layout import HOST
from tools.polling import HANG_GUARD


#: Headers of a caller of the workspace ``joinville``.
CALLER = MappingProxyType({'authorization': 'Bearer joinville-key'})


class Answer(NamedTuple):
    """Response that a caller received."""

    status: int
    headers: Any
    text: str


def ask(
    fleet: Fleet,
    router: int,
    path: str,
    body: bytes,
    **headers: str,
) -> Answer:
    """Post a body; underscores in header names become hyphens."""
    port = fleet.layout.routers[router].caller_port
    request = url_request.Request(f'http://{HOST}:{port}{path}', body)
    for name, text in {**CALLER, **headers}.items():
        request.add_header(name.replace('_', '-'), text)
    try:
        with url_request.urlopen(request, timeout=HANG_GUARD) as response:
            return _read(response)
    except url_error.HTTPError as error:
        return _read(error)


def ask_chat(
    fleet: Fleet,
    router: int,
    prompt: str,
    key: str = '',
    **fields: Any,
) -> Answer:
    """Request a chat completion."""
    messages = [{'role': 'user', 'content': prompt}]
    body = {'model': 'tiny-1', 'messages': messages, **fields}
    headers = {'idempotency_key': key} if key else {}
    path = '/v1/chat/completions'
    return ask(fleet, router, path, json.dumps(body).encode(), **headers)


def ask_service(
    fleet: Fleet,
    router: int,
    path: str,
    key: str,
    **headers: str,
) -> Answer:
    """Call a plain service."""
    path = f'/services/{path}'
    return ask(fleet, router, path, b'order', idempotency_key=key, **headers)


def _read(response: Any) -> Answer:
    text = response.read().decode()
    return Answer(response.status, response.headers, text)
