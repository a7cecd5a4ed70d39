"""Splitting of an event stream into events."""

from typing import Final

from dykemast._internal.exceptions import UpstreamError

#: Maximum size of one event.
MAX_EVENT_BYTES: Final = 1_048_576
_END: Final = b'\n\n'
_ID: Final = b'id:'


class EventParser:
    """Buffers an event until it is complete."""

    def __init__(self) -> None:
        """Create a parser with an empty buffer."""
        self._rest = b''

    def feed(self, chunk: bytes) -> list[bytes]:
        """Parse a chunk of the stream.

        :param chunk: bytes of the stream.
        :returns: the events completed by the chunk, each with its final blank
            line.
        :raises UpstreamError: when an event exceeds the maximum size.
        """
        events = (self._rest + chunk).split(_END)
        self._rest = events.pop()
        if len(self._rest) > MAX_EVENT_BYTES:
            raise UpstreamError(
                f'event exceeds {MAX_EVENT_BYTES} bytes: '
                f'got {len(self._rest)} bytes so far',
                sent=True,
            )
        return [event + _END for event in events]

    def has_partial_event(self) -> bool:
        """Check whether an incomplete event is buffered.

        :returns: whether there is one.
        """
        return bool(self._rest)


def parse_event_id(event: bytes) -> str:
    """Parse the id of an event.

    :param event: the event.
    :returns: the id; empty if the event has none.
    """
    for line in event.split(b'\n'):
        if line.startswith(_ID):
            return line[len(_ID) :].strip().decode('latin-1')
    return ''
