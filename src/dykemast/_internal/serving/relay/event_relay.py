"""Pass events on to a caller, whole ones only."""

from dykemast._internal.exceptions import UpstreamError
from dykemast._internal.models.forwarding import ResponseHead
from dykemast._internal.serving.relay.event_parser import (
    EventParser,
    parse_event_id,
)
from dykemast._internal.serving.requests.responder import Responder
from dykemast._internal.utils.clock import read_clock


class EventRelay:
    """What a caller has got of a streamed answer.

    :param responder: answers the caller.
    """

    def __init__(self, responder: Responder) -> None:
        """Pass nothing on yet."""
        self._responder = responder
        self._parser = EventParser()
        self._head: ResponseHead | None = None
        self.events = 0
        #: Id of the last event that was passed on; empty for none.
        self.last_event = ''
        #: Seconds at which the first event was passed on.
        self.first_at: float | None = None

    def begin(self, head: ResponseHead) -> None:
        """Begin to read the answer of an engine, the first or another.

        :param head: its head.
        """
        self._parser = EventParser()
        # A resumed stream keeps the head of its first engine.
        self._head = self._head or head

    async def pass_chunk(self, chunk: bytes) -> bool:
        """Pass on the events that are whole now.

        :param chunk: bytes of the answer.
        :returns: whether there were any.
        """
        whole = self._parser.feed(chunk)
        if not whole:
            return False
        if self.first_at is None:
            self.first_at = read_clock()
        self.events += len(whole)
        self.last_event = parse_event_id(whole[-1]) or self.last_event
        await self._send_head()
        await self._responder.write(b''.join(whole), more=True)
        return True

    async def finish(self) -> None:
        """End the answer.

        :raises UpstreamError: when its last event is not whole.
        """
        if self._parser.has_partial_event():
            raise UpstreamError('the last event is not whole', sent=True)
        await self._send_head()
        await self._responder.write(b'', more=False)

    async def pass_failure(self, head: ResponseHead, body: bytes) -> None:
        """Pass on the failure of an engine, if nothing was passed on yet.

        :param head: head of its answer.
        :param body: the rest of it.
        :raises UpstreamError: when the caller has begun to read another.
        """
        if self._responder.begun:
            raise UpstreamError(f'status {head.status}', sent=True)
        await self._responder.answer(head.status, head.headers, body)

    async def _send_head(self) -> None:
        if self._head and not self._responder.begun:
            await self._responder.begin(self._head.status, self._head.headers)
