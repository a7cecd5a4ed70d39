"""Requests that are answered by an event stream."""

from typing import Final

from dykemast._internal.exceptions import UpstreamError
from dykemast._internal.serving.relay.attempts import Attempts
from dykemast._internal.serving.choice.choices import count_uncached
from dykemast._internal.serving.relay.event_relay import EventRelay
from dykemast._internal.serving.relay.exchange import Exchange
from dykemast._internal.serving.relay.payments import Payment
from dykemast._internal.serving.relay.pauses import PauseMeter
from dykemast._internal.serving.relay.prefill import Prefill, record_prompt
from dykemast._internal.serving.relay.sends import Send, record_resumption
from dykemast._internal.serving.sending.upstream_request import (
    UpstreamRequest,
    make_upstream_request,
)
from dykemast._internal.serving.sending.upstream_response import (
    UpstreamResponse,
)

_FIRST_ERROR_STATUS: Final = 300


class EventStream:
    """One streamed response, which another engine may resume.

    :param exchange: the request.
    :param payment: reserves the tokens that the response may consume.
    """

    def __init__(self, exchange: Exchange, payment: Payment) -> None:
        """Create a stream; nothing is sent yet."""
        self._parts = exchange.parts
        self._admitted = exchange.admitted
        self._body = exchange.body
        self._attempts = Attempts(exchange, payment.hold_for_retry)
        self.relay = EventRelay(exchange.responder)
        self._payment = payment

    async def serve(self) -> None:
        """Deliver the response.

        :raises RefusedError: when the response was not delivered completely.
        """
        await self._attempts.run(self._deliver)

    async def _deliver(self, send: Send) -> None:
        server = send.server
        uncached = count_uncached(self._parts, self._admitted, server.name)
        prefill = Prefill(self._parts, server.name, uncached)
        try:
            await self._send(send, prefill)
        except UpstreamError as error:
            if error.sent:
                self._payment.usage.record_broken_stream()
            raise
        except BaseException:
            # The caller disconnected, or this process is stopping; the engine
            # may continue.
            self._attempts.may_have_run = True
            self._payment.usage.record_broken_stream()
            raise
        finally:
            prefill.end()
            self._parts.loads.own.end(server.name)

    async def _send(self, send: Send, prefill: Prefill) -> None:
        outgoing = self._make_request(send)
        async with self._parts.upstreams.send(outgoing) as response:
            # The request has run, even if the response is an error.
            self._attempts.may_have_run = True
            self._payment.usage.record_start()
            record_prompt(self._parts, self._admitted, send.server)
            if response.head.status >= _FIRST_ERROR_STATUS:
                await self._forward_error(response)
                return
            self.relay.begin(response.head)
            meter = PauseMeter(self._parts, self._admitted, send)
            async for chunk in response.read_chunks(self._admitted.deadline):
                if await self.relay.forward_chunk(chunk):
                    prefill.end()
                    self._payment.usage.record_read(self.relay.events)
                    meter.record_event()
            await self.relay.finish()
            meter.log_summary(self.relay.events)

    def _make_request(self, send: Send) -> UpstreamRequest:
        after = self.relay.last_event
        if after or self._admitted.request.last_event_id:
            record_resumption(self._parts, self._admitted, send, after)
        outgoing = make_upstream_request(
            self._admitted,
            self._body,
            send.server,
            avoids_link=send.avoids_link,
        )
        return outgoing.resume_after(after)

    async def _forward_error(self, response: UpstreamResponse) -> None:
        error_body = await response.read_whole(self._admitted.deadline)
        await self.relay.forward_error(response.head, error_body)
