"""Read the bodies of callers' requests, bounded in size and time."""

import asyncio
from typing import Final

from starlette.requests import ClientDisconnect, Request

from dykemast._internal.models.requests import Code, Refusal
from dykemast._internal.path.parts import RefusedError

MAX_BODY_BYTES: Final = 1_048_576
BODY_TIMEOUT_S: Final = 10.0


async def read_body(request: Request) -> bytes:
    """Read a caller's body.

    :param request: the request.
    :returns: its body.
    :raises RefusedError: when it is too large or too slow.
    """
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            return await _gather(request)
    except TimeoutError as error:
        text = f'The body took longer than {BODY_TIMEOUT_S} s.'
        raise RefusedError(Refusal(Code.too_late, text)) from error
    except ClientDisconnect as error:
        text = 'The caller went away while sending.'
        raise RefusedError(Refusal(Code.bad_request, text)) from error


async def _gather(request: Request) -> bytes:
    body = bytearray()
    async for chunk in request.stream():
        body += chunk
        if len(body) > MAX_BODY_BYTES:
            text = f'The body is larger than {MAX_BODY_BYTES} bytes.'
            raise RefusedError(Refusal(Code.too_large, text))
    return bytes(body)
