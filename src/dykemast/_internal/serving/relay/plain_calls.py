"""Requests that are answered at once."""

import contextlib
from typing import Final, NamedTuple

from dykemast._internal.exceptions import UpstreamError
from dykemast._internal.models.forwarding import ResponseHead
from dykemast._internal.serving.relay.attempts import Attempts
from dykemast._internal.serving.relay.exchange import Exchange
from dykemast._internal.serving.relay.sends import Send
from dykemast._internal.serving.sending.upstream_request import (
    make_upstream_request,
)

#: From this status on, a repeatable request may succeed on another server.
FIRST_SERVER_ERROR_STATUS: Final = 500


class _Response(NamedTuple):
    head: ResponseHead
    body: bytes


async def serve_plain(exchange: Exchange) -> None:
    """Serve a request that is answered at once.

    :param exchange: the request.
    :raises RefusedError: when it is not served.
    """
    admitted = exchange.admitted
    attempts = Attempts(exchange)

    async def deliver(send: Send) -> None:
        response = await _fetch(exchange, send)
        status = response.head.status
        may_repeat = len(attempts.tried) < admitted.route.max_workers
        if status >= FIRST_SERVER_ERROR_STATUS and may_repeat:
            if admitted.is_repeatable():
                raise UpstreamError(f'status {status}', sent=True)
        headers = response.head.headers
        await exchange.responder.answer(status, headers, response.body)

    await attempts.run(deliver)


async def _fetch(exchange: Exchange, send: Send) -> _Response:
    outgoing = make_upstream_request(
        exchange.admitted,
        exchange.body,
        send.server,
        avoids_link=send.avoids_link,
    )
    loads = exchange.parts.loads.own
    with contextlib.ExitStack() as ending:
        loads.begin(send.server.name, 0)
        ending.callback(loads.end, send.server.name)
        async with exchange.parts.upstreams.send(outgoing) as response:
            body = await response.read_whole(exchange.admitted.deadline)
            return _Response(response.head, body)
