"""Delivery of complete events to a caller."""

from collections.abc import Awaitable, Callable

from dykemast._internal.exceptions import UpstreamError
from dykemast._internal.models.forwarding import ResponseHead
from dykemast._internal.serving.relay.event_parser import (
    EventParser,
    parse_event_id,
)
from dykemast._internal.serving.requests.responder import Responder
from dykemast._internal.utils.clock import read_clock

#: Prepares for the delivery of events.
BeforeFirst = Callable[[], Awaitable[None]]


class EventRelay:
    """The part of a streamed response that was delivered to the caller.

    :param responder: sends the response to the caller.
    """

    def __init__(self, responder: Responder) -> None:
        """Create a relay that has delivered nothing."""
        self._responder = responder
        self._parser = EventParser()
        self._head: ResponseHead | None = None
        self._before_first: BeforeFirst | None = None
        self.events = 0
        #: Id of the last delivered event; empty if there is none.
        self.last_event = ''
        #: Time at which the first event was delivered.
        self.first_at: float | None = None

    def begin(self, head: ResponseHead, before_first: BeforeFirst) -> None:
        """Start to read the response of an engine, the first or a later one.

        :param head: status and headers of the response.
        :param before_first: called before the first event is delivered.
        """
        self._parser = EventParser()
        self._before_first = before_first
        # A resumed stream keeps the status and headers of its first engine.
        self._head = self._head or head

    async def forward_chunk(self, chunk: bytes) -> bool:
        """Deliver the events that a chunk completes.

        :param chunk: bytes of the response.
        :returns: whether there were any.
        """
        complete_events = self._parser.feed(chunk)
        if not complete_events:
            return False
        if self.first_at is None and self._before_first:
            await self._before_first()
            self.first_at = read_clock()
        self.events += len(complete_events)
        self.last_event = parse_event_id(complete_events[-1]) or self.last_event
        await self._send_head()
        await self._responder.write(b''.join(complete_events), more=True)
        return True

    async def finish(self, *, delimited: bool) -> None:
        """Finish the response.

        :param delimited: whether a length or chunks marked its end; otherwise
            its connection has ended.
        :raises UpstreamError: when the last event is incomplete.
        """
        if self._parser.has_partial_event():
            raise UpstreamError(
                'stream ended within an event', sent=True, broken=not delimited
            )
        await self._send_head()
        await self._responder.write(b'', more=False)

    async def forward_error(self, head: ResponseHead, body: bytes) -> None:
        """Deliver the error response of an engine, unless delivery has begun.

        :param head: status and headers of the response.
        :param body: body of the response.
        :raises UpstreamError: when another response has been partly delivered.
        """
        if self._responder.begun:
            raise UpstreamError(f'status {head.status}', sent=True)
        await self._responder.answer(head.status, head.headers, body)

    async def _send_head(self) -> None:
        if self._head and not self._responder.begun:
            await self._responder.begin(self._head.status, self._head.headers)
