"""Streamed responses that a test reads incrementally."""

import json
from http import client
from typing import Any

from tools.fleet import Fleet
from tools.layout import HOST
from tools.polling import HANG_GUARD


#: Marks the position at which the connection broke.
BROKEN = b'<broken>'


def open_stream(
    fleet: Fleet,
    router: int,
    prompt: str,
    key: str,
) -> tuple[client.HTTPConnection, client.HTTPResponse]:
    """Begin a streamed chat completion."""
    port = fleet.layout.routers[router].caller_port
    connection = client.HTTPConnection(HOST, port, timeout=HANG_GUARD)
    body: dict[str, Any] = {
        'model': 'tiny-1',
        'stream': True,
        'messages': [{'role': 'user', 'content': prompt}],
    }
    headers = {
        'authorization': 'Bearer joinville-key',
        'idempotency-key': key,
    }
    path = '/v1/chat/completions'
    connection.request('POST', path, json.dumps(body), headers)
    return connection, connection.getresponse()


def read_rest(response: client.HTTPResponse) -> bytes:
    """Read to the end, or until the connection breaks."""
    try:
        return response.read()
    except client.IncompleteRead as error:
        return error.partial + BROKEN
    except OSError:
        return BROKEN
