"""Requests that are answered at once."""

import contextlib
from typing import Final, NamedTuple

from dykemast._internal.exceptions import UpstreamError
from dykemast._internal.models.backend import BackendServer
from dykemast._internal.models.forwarding import AnswerHead
from dykemast._internal.serving.attempts import Attempts
from dykemast._internal.serving.parts import Parts
from dykemast._internal.serving.ticket import Ticket
from dykemast._internal.serving.responder import Responder
from dykemast._internal.serving.sending import make_sending

#: Statuses from which a repeatable request may do better elsewhere.
FIRST_SERVER_ERROR: Final = 500


class _Whole(NamedTuple):
    head: AnswerHead
    body: bytes


async def serve_plain(
    parts: Parts,
    ticket: Ticket,
    body: bytes,
    responder: Responder,
) -> None:
    """Serve a request whose answer comes at once.

    :param parts: parts of the program.
    :param ticket: the request.
    :param body: its body.
    :param responder: answers the caller.
    :raises RefusedError: when it is not served.
    """
    attempts = Attempts(parts, ticket)

    async def deliver(server: BackendServer) -> None:
        whole = await _fetch(parts, ticket, server, body)
        status = whole.head.status
        may_repeat = len(attempts.tried) < ticket.route.max_workers
        if status >= FIRST_SERVER_ERROR and may_repeat:
            if ticket.is_repeatable():
                raise UpstreamError(f'status {status}', sent=True)
        await responder.answer(status, whole.head.headers, whole.body)

    await attempts.run(deliver)


async def _fetch(
    parts: Parts,
    ticket: Ticket,
    server: BackendServer,
    body: bytes,
) -> _Whole:
    sending = make_sending(ticket, body, server)
    with contextlib.ExitStack() as ending:
        parts.loads.own.begin(server.name, 0)
        ending.callback(parts.loads.own.end, server.name)
        async with parts.upstreams.send(sending) as answer:
            whole = await answer.read_whole(ticket.deadline)
            return _Whole(answer.head, whole)
