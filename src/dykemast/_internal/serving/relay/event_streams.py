"""Requests that are answered by a stream of events."""

from typing import Final

from dykemast._internal.exceptions import UpstreamError
from dykemast._internal.models.backend import BackendServer
from dykemast._internal.serving.relay.attempts import Attempts
from dykemast._internal.serving.choice.choices import count_missing
from dykemast._internal.serving.relay.event_relay import EventRelay
from dykemast._internal.serving.relay.exchange import Exchange
from dykemast._internal.serving.relay.pauses import PauseMeter
from dykemast._internal.serving.relay.readings import Reading, note_prompt
from dykemast._internal.serving.sending.sending import make_sending
from dykemast._internal.serving.sending.upstream_answer import Answer

#: Events that an engine may have made and not delivered when its stream
#: breaks; they are charged.
LOST_EVENTS: Final = 2
_FIRST_FAILURE: Final = 300


class EventStream:
    """One streamed answer, which may go on at another engine.

    :param exchange: the request.
    """

    def __init__(self, exchange: Exchange) -> None:
        """Read nothing yet."""
        self._parts = exchange.parts
        self._ticket = exchange.ticket
        self._body = exchange.body
        self._attempts = Attempts(exchange.parts, exchange.ticket)
        self.relay = EventRelay(exchange.responder)
        #: Events charged beyond those that were read.
        self._lost_events = 0

    async def serve(self) -> None:
        """Pass the answer on.

        :raises RefusedError: when it was not passed on whole.
        """
        await self._attempts.run(self._deliver)

    def count_used(self) -> int:
        """Count the tokens that the request consumed.

        :returns: tokens of the prompt once, and those that came out.
        """
        if not self.relay.events and not self._attempts.may_have_run:
            return 0
        engine = self._ticket.service.engine
        an_event = engine.tokens_per_event if engine else 1
        made = (self.relay.events + self._lost_events) * an_event
        request = self._ticket.request
        return request.prompt_tokens + min(made, request.output_tokens)

    async def _deliver(self, server: BackendServer) -> None:
        unread = count_missing(self._parts, self._ticket, server.name)
        reading = Reading(self._parts, server.name, unread)
        try:
            await self._send(server, reading)
        except UpstreamError as error:
            if error.sent:
                self._lost_events += LOST_EVENTS
            raise
        except BaseException:
            # The caller left, or this process ends; the engine may go on.
            self._attempts.may_have_run = True
            self._lost_events += LOST_EVENTS
            raise
        finally:
            reading.end()
            self._parts.loads.own.end(server.name)

    async def _send(self, server: BackendServer, reading: Reading) -> None:
        sending = make_sending(self._ticket, self._body, server)
        sending = sending.resume_after(self.relay.last_event)
        async with self._parts.upstreams.send(sending) as answer:
            # From here on it ran, also when the answer is a failure.
            self._attempts.may_have_run = True
            note_prompt(self._parts, self._ticket, server)
            if answer.head.status >= _FIRST_FAILURE:
                await self._pass_failure(answer)
                return
            self.relay.begin(answer.head)
            meter = PauseMeter(self._parts, self._ticket, server)
            async for chunk in answer.read_chunks(self._ticket.deadline):
                if await self.relay.pass_chunk(chunk):
                    reading.end()
                    meter.note_event()
            await self.relay.finish()
            meter.log_end(self.relay.events)

    async def _pass_failure(self, answer: Answer) -> None:
        whole = await answer.read_whole(self._ticket.deadline)
        await self.relay.pass_failure(answer.head, whole)
