"""Requests that are answered by a stream of events."""

from typing import Final

from dykemast._internal.exceptions import UpstreamError
from dykemast._internal.serving.relay.attempts import Attempts
from dykemast._internal.serving.choice.choices import count_uncached
from dykemast._internal.serving.relay.event_relay import EventRelay
from dykemast._internal.serving.relay.exchange import Exchange
from dykemast._internal.serving.relay.payments import Payment
from dykemast._internal.serving.relay.pauses import PauseMeter
from dykemast._internal.serving.relay.prefill import Prefill, record_prompt
from dykemast._internal.serving.relay.sends import Send
from dykemast._internal.serving.sending.upstream_request import (
    make_upstream_request,
)
from dykemast._internal.serving.sending.upstream_response import (
    UpstreamResponse,
)

_FIRST_FAILURE: Final = 300


class EventStream:
    """One streamed answer, which may go on at another engine.

    :param exchange: the request.
    :param payment: holds the tokens that it may consume.
    """

    def __init__(self, exchange: Exchange, payment: Payment) -> None:
        """Read nothing yet."""
        self._parts = exchange.parts
        self._admitted = exchange.admitted
        self._body = exchange.body
        self._attempts = Attempts(exchange, payment.hold_for_retry)
        self.relay = EventRelay(exchange.responder)
        self._payment = payment

    async def serve(self) -> None:
        """Pass the answer on.

        :raises RefusedError: when it was not passed on whole.
        """
        await self._attempts.run(self._deliver)

    async def _deliver(self, send: Send) -> None:
        server = send.server
        unread = count_uncached(self._parts, self._admitted, server.name)
        prefill = Prefill(self._parts, server.name, unread)
        try:
            await self._send(send, prefill)
        except UpstreamError as error:
            if error.sent:
                self._payment.usage.record_broken_stream()
            raise
        except BaseException:
            # The caller left, or this process ends; the engine may go on.
            self._attempts.may_have_run = True
            self._payment.usage.record_broken_stream()
            raise
        finally:
            prefill.end()
            self._parts.loads.own.end(server.name)

    async def _send(self, send: Send, prefill: Prefill) -> None:
        sending = make_upstream_request(self._admitted, self._body, send.server)
        sending = sending.resume_after(self.relay.last_event)
        async with self._parts.upstreams.send(sending) as answer:
            # From here on it ran, also when the answer is a failure.
            self._attempts.may_have_run = True
            self._payment.usage.record_start()
            record_prompt(self._parts, self._admitted, send.server)
            if answer.head.status >= _FIRST_FAILURE:
                await self._pass_failure(answer)
                return
            self.relay.begin(answer.head)
            meter = PauseMeter(self._parts, self._admitted, send)
            async for chunk in answer.read_chunks(self._admitted.deadline):
                if await self.relay.pass_chunk(chunk):
                    prefill.end()
                    self._payment.usage.record_read(self.relay.events)
                    meter.note_event()
            await self.relay.finish()
            meter.log_end(self.relay.events)

    async def _pass_failure(self, answer: UpstreamResponse) -> None:
        whole = await answer.read_whole(self._admitted.deadline)
        await self.relay.pass_failure(answer.head, whole)
