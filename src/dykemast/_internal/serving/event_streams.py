"""Requests that are answered by a stream of events."""

import time
from typing import Final

from dykemast._internal.exceptions import UpstreamError
from dykemast._internal.models.backend import BackendServer
from dykemast._internal.platform.headers import Forwarding
from dykemast._internal.serving.attempts import Attempts
from dykemast._internal.serving.choices import count_missing
from dykemast._internal.serving.event_parser import EventParser
from dykemast._internal.serving.parts import Parts, Ticket
from dykemast._internal.serving.responder import Responder
from dykemast._internal.serving.upstream import Answer, Sending

#: Events that an engine may have made and not delivered when its stream
#: breaks; they are charged.
LOST_EVENTS: Final = 2
_FIRST_FAILURE: Final = 300


class EventStream:
    """One streamed answer, which may go on at another engine.

    :param parts: parts of the program.
    :param ticket: the request.
    :param body: its body.
    :param responder: answers the caller.
    """

    def __init__(
        self,
        parts: Parts,
        ticket: Ticket,
        body: bytes,
        responder: Responder,
    ) -> None:
        """Read nothing yet."""
        self._parts = parts
        self._ticket = ticket
        self._body = body
        self._responder = responder
        self._attempts = Attempts(parts, ticket)
        self._last_event = ''
        self._events = 0
        #: Events charged beyond those that were read.
        self._lost_events = 0
        self.first_event_at: float | None = None

    async def serve(self) -> None:
        """Pass the answer on.

        :raises RefusedError: when it was not passed on whole.
        """
        await self._attempts.run(self._deliver)

    def count_used(self) -> int:
        """Count the tokens that the request consumed.

        :returns: tokens of the prompt once, and those that came out.
        """
        if not self._events and not self._attempts.may_have_run:
            return 0
        engine = self._ticket.service.engine
        an_event = engine.tokens_per_event if engine else 1
        made = (self._events + self._lost_events) * an_event
        request = self._ticket.request
        return request.prompt_tokens + min(made, request.output_tokens)

    async def _deliver(self, server: BackendServer) -> None:
        missing = count_missing(self._parts, self._ticket, server.name)
        loads = self._parts.loads
        loads.begin(server.name, missing)
        reading = _Reading(self._parts, server.name, missing)
        answer: Answer | None = None
        try:
            answer = await self._parts.upstreams.send(
                self._make_sending(server)
            )
            self._note_prompt(server)
            await self._pass_on(answer, reading)
        except BaseException as error:
            if not isinstance(error, UpstreamError) or error.sent:
                self._attempts.may_have_run = True
                self._lost_events += LOST_EVENTS
            if answer:
                answer.close()
            raise
        finally:
            reading.end()
            loads.end(server.name)
        answer.release()

    async def _pass_on(self, answer: Answer, reading: '_Reading') -> None:
        if answer.head.status >= _FIRST_FAILURE:
            await self._pass_failure(answer)
            return
        parser = EventParser()
        async for chunk in answer.read_chunks(self._ticket.deadline):
            for event in parser.feed(chunk):
                reading.end()
                await self._pass_event(answer, event)
        if parser.has_rest():
            raise UpstreamError('the last event is not whole', sent=True)
        await self._begin(answer)
        await self._responder.write(b'', more=False)

    async def _pass_event(self, answer: Answer, event: bytes) -> None:
        self._events += 1
        self._last_event = EventParser.read_id(event) or self._last_event
        if self.first_event_at is None:
            self.first_event_at = time.monotonic()
        await self._begin(answer)
        await self._responder.write(event, more=True)

    async def _begin(self, answer: Answer) -> None:
        # A resumed stream keeps the head of its first engine.
        if not self._responder.begun:
            head = answer.head
            await self._responder.begin(head.status, [*head.headers])

    async def _pass_failure(self, answer: Answer) -> None:
        whole = await answer.read_whole(self._ticket.deadline)
        if self._responder.begun:
            raise UpstreamError(f'status {answer.head.status}', sent=True)
        head = answer.head
        await self._responder.answer(head.status, [*head.headers], whole)

    def _make_sending(self, server: BackendServer) -> Sending:
        ticket = self._ticket
        workspace = ticket.workspace.name if ticket.workspace else ''
        added = Forwarding(
            server=server.name,
            workspace=workspace,
            seconds=ticket.deadline - time.monotonic(),
            priority=_choose_priority(ticket),
            after_event=self._last_event if self._events else '',
        )
        return Sending(
            server, ticket.request, self._body, added, ticket.deadline
        )

    def _note_prompt(self, server: BackendServer) -> None:
        engine = self._ticket.service.engine
        capacity = engine.memory if engine else 0
        self._parts.loads.note_prompt(
            server.name, self._ticket.request.prompt, capacity
        )


class _Reading:
    """The reading of a prompt, which ends once."""

    def __init__(self, parts: Parts, server: str, unread: int) -> None:
        self._parts = parts
        self._server = server
        self._unread = unread

    def end(self) -> None:
        self._parts.loads.end_reading(self._server, self._unread)
        self._unread = 0


#: Urgencies that engines know, from 0.
_LAST_PRIORITY: Final = 9
#: Urgencies of routes that go below one of workspaces.
_ROUTE_PRIORITIES: Final = 3


def _choose_priority(ticket: Ticket) -> int:
    own = ticket.workspace.priority if ticket.workspace else None
    ranked = (own or 0) * _ROUTE_PRIORITIES + ticket.route.priority
    return min(_LAST_PRIORITY, ranked)
