"""Forward, record and replay responses of plain services."""

import json
from typing import Final

import aiohttp
from starlette.responses import Response

from dykemast._internal.models.journal import Entry
from dykemast._internal.models.requests import Code, Ran, Refusal
from dykemast._internal.path.parts import RefusedError

#: Larger responses are not recorded for replay to a retry.
MAX_RECORDED_BYTES: Final = 2048
_DROPPED: Final = frozenset(
    (
        'connection',
        'content-length',
        'date',
        'keep-alive',
        'server',
        'transfer-encoding',
        'x-request-id',
    )
)
_OTHER_KIND: Final = 'application/octet-stream'


def make_answer(response: aiohttp.ClientResponse, body: bytes) -> Response:
    """Make the response for the caller, without hop-by-hop headers.

    :param response: the backend server's response.
    :param body: its body.
    :returns: the response.
    """
    passed = {
        name: text
        for name, text in response.headers.items()
        if name.lower() not in _DROPPED
    }
    return Response(body, response.status, passed)


def record(response: aiohttp.ClientResponse, body: bytes) -> str:
    """Encode a response for the journal.

    :param response: the backend server's response.
    :param body: its body.
    :returns: JSON text, or empty when the body is too large or not UTF-8.
    """
    if len(body) > MAX_RECORDED_BYTES:
        return ''
    kind = response.headers.get('content-type', _OTHER_KIND)
    try:
        text = body.decode()
    except UnicodeDecodeError:
        return ''
    return json.dumps([response.status, kind, text])


def replay(earlier: Entry) -> Response:
    """Return the recorded response of the first attempt to a retry.

    :param earlier: outcome of the first attempt.
    :returns: the recorded response.
    :raises RefusedError: when none was recorded.
    """
    if not earlier.answer:
        text = 'This request has run; its answer was not kept.'
        raise RefusedError(Refusal(Code.already_ran, text, Ran.did_run))
    status, kind, body = json.loads(earlier.answer)
    answer = Response(body, status, media_type=kind)
    answer.headers['x-request-id'] = earlier.run
    answer.headers['x-replayed'] = 'yes'
    return answer
