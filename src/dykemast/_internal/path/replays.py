"""Answers of plain services: passed on, recorded, and replayed to a retry."""

import json
from typing import Final

import aiohttp
from starlette.responses import Response

from dykemast._internal.models.journal import Entry
from dykemast._internal.models.requests import Code, Ran, Refusal
from dykemast._internal.path.parts import RefusedError

#: Bytes of an answer that are recorded, to be given to a retry again.
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
    """Pass an answer on without what concerns one connection only.

    :param response: the backend server's answer.
    :param body: its body.
    :returns: the answer for the caller.
    """
    passed = {
        name: text
        for name, text in response.headers.items()
        if name.lower() not in _DROPPED
    }
    return Response(body, response.status, passed)


def record(response: aiohttp.ClientResponse, body: bytes) -> str:
    """Write an answer down for the journal.

    :param response: the backend server's answer.
    :param body: its body.
    :returns: text to keep; empty when the answer is too large or no text.
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
    """Answer a retry with what the first attempt got.

    :param earlier: outcome of the first attempt.
    :returns: the recorded answer.
    :raises RefusedError: when none was kept.
    """
    if not earlier.answer:
        text = 'This request has run; its answer was not kept.'
        raise RefusedError(Refusal(Code.already_ran, text, Ran.did_run))
    status, kind, body = json.loads(earlier.answer)
    answer = Response(body, status, media_type=kind)
    answer.headers['x-request-id'] = earlier.run
    answer.headers['x-replayed'] = 'yes'
    return answer
