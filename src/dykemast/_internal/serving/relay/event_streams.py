"""Requests that are answered by an event stream."""

import contextlib
from typing import Final

from dykemast._internal.exceptions import UpstreamError
from dykemast._internal.serving.relay.attempts import Attempts
from dykemast._internal.serving.choice.choices import count_uncached
from dykemast._internal.serving.relay.event_relay import EventRelay
from dykemast._internal.serving.relay.exchange import Exchange
from dykemast._internal.serving.relay.payments import Payment
from dykemast._internal.serving.relay.resumptions import StreamVersion
from dykemast._internal.serving.relay.sends import Send, record_resumption
from dykemast._internal.serving.relay.stream_timing import (
    PauseMeter,
    Prefill,
    record_prompt,
)
from dykemast._internal.serving.sending.upstream_request import (
    UpstreamRequest,
    make_upstream_request,
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
        self._attempts = Attempts(exchange, self._prepare_send)
        self._version = StreamVersion(exchange.parts, exchange.admitted)
        self.relay = EventRelay(exchange.responder)
        self._payment = payment

    async def serve(self) -> None:
        """Deliver the response.

        :raises RefusedError: when the response was not delivered completely.
        """
        await self._attempts.run(self._deliver)

    async def _prepare_send(self) -> None:
        if self.relay.events:
            self._attempts.restrict(await self._version.find())
        elif self._admitted.server_version is not None:
            await self._version.confirm_servers(self._admitted.server_version)
        await self._payment.hold_for_retry()

    async def _deliver(self, send: Send) -> None:
        server = send.server
        uncached = count_uncached(self._parts, self._admitted, server.name)
        with contextlib.ExitStack() as ending:
            prefill = Prefill(self._parts, server.name, uncached)
            ending.callback(self._parts.loads.own.end, server.name)
            ending.callback(prefill.end)
            ending.callback(self._version.end_send)
            try:
                await self._send(send, prefill)
            except UpstreamError as error:
                if error.sent:
                    self._payment.usage.record_broken_stream()
                raise
            except BaseException:
                # The caller disconnected, or this process is stopping; the
                # engine may continue.
                self._attempts.may_have_run = True
                self._payment.usage.record_broken_stream()
                raise

    async def _send(self, send: Send, prefill: Prefill) -> None:
        outgoing = self._make_request(send)
        async with self._parts.upstreams.send(outgoing) as response:
            # The request has run, even if the response is an error.
            self._attempts.may_have_run = True
            self._payment.usage.record_start()
            record_prompt(self._parts, self._admitted, send.server)
            if response.head.status >= _FIRST_ERROR_STATUS:
                body = await response.read_whole(self._admitted.deadline)
                await self.relay.forward_error(response.head, body)
                return
            self.relay.begin(
                response.head, lambda: self._version.replicate(send.server)
            )
            meter = PauseMeter(self._parts, self._admitted, send)
            async for chunk in response.read_chunks(self._admitted.deadline):
                if send.event_at is None and outgoing.resumes_stream():
                    self._version.check_server(send.server)
                if await self.relay.forward_chunk(chunk):
                    self._record_events(send, prefill, meter)
            await self.relay.finish(delimited=response.head.delimited)
            meter.log_summary(self.relay.events)
            self._version.is_whole = True

    def _record_events(
        self, send: Send, prefill: Prefill, meter: PauseMeter
    ) -> None:
        if send.event_at is None:
            self._version.record(send.server)
        prefill.end()
        self._payment.usage.record_read(self.relay.events)
        meter.record_event()

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
