"""Requests that are answered at once."""

import time

from dykemast._internal.exceptions import UpstreamError
from dykemast._internal.models.backend import BackendServer
from dykemast._internal.platform.headers import Forwarding
from dykemast._internal.serving.attempts import Attempts, is_repeatable
from dykemast._internal.serving.parts import Parts, Ticket
from dykemast._internal.serving.responder import Responder
from dykemast._internal.serving.upstream import Answer, Sending

#: Statuses from which a repeatable request may do better elsewhere.
_FIRST_SERVER_ERROR = 500


class _Whole(UpstreamError):
    """A failure that the backend server answered whole."""

    def __init__(self, answer: Answer, body: bytes) -> None:
        super().__init__(f'status {answer.head.status}', sent=True)
        self.answer = answer
        self.body = body


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
        answer, whole = await _fetch(parts, ticket, server, body)
        failed = answer.head.status >= _FIRST_SERVER_ERROR
        may_repeat = len(attempts.tried) < ticket.route.max_workers
        if failed and may_repeat and is_repeatable(ticket):
            raise _Whole(answer, whole)
        await responder.answer(
            answer.head.status, [*answer.head.headers], whole
        )

    await attempts.run(deliver)


async def _fetch(
    parts: Parts,
    ticket: Ticket,
    server: BackendServer,
    body: bytes,
) -> tuple[Answer, bytes]:
    parts.loads.begin(server.name, 0)
    workspace = ticket.workspace.name if ticket.workspace else ''
    left = ticket.deadline - time.monotonic()
    added = Forwarding(server.name, workspace, left)
    sending = Sending(server, ticket.request, body, added, ticket.deadline)
    answer: Answer | None = None
    try:
        answer = await parts.upstreams.send(sending)
        whole = await answer.read_whole(ticket.deadline)
    except BaseException:
        if answer:
            answer.close()
        raise
    finally:
        parts.loads.end(server.name)
    answer.release()
    return answer, whole
