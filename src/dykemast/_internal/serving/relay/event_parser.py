"""Split a stream of events into whole events."""

from typing import Final

from dykemast._internal.exceptions import UpstreamError

#: Bytes of one event at most.
MAX_EVENT_BYTES: Final = 1_048_576
_END: Final = b'\n\n'
_ID: Final = b'id:'


class EventParser:
    """Keeps the bytes of an event that is not whole yet."""

    def __init__(self) -> None:
        """Start empty."""
        self._rest = b''

    def feed(self, chunk: bytes) -> list[bytes]:
        """Take bytes of the stream.

        :param chunk: the bytes.
        :returns: events that are whole now, with the blank line at the end.
        :raises UpstreamError: when an event is too long.
        """
        events = (self._rest + chunk).split(_END)
        self._rest = events.pop()
        if len(self._rest) > MAX_EVENT_BYTES:
            raise UpstreamError('an event is too long', sent=True)
        return [event + _END for event in events]

    def has_partial_event(self) -> bool:
        """Tell whether an event has begun and is not whole.

        :returns: whether there is one.
        """
        return bool(self._rest)


def parse_event_id(event: bytes) -> str:
    """Read the id of an event.

    :param event: the event.
    :returns: its id; empty when it has none.
    """
    for line in event.split(b'\n'):
        if line.startswith(_ID):
            return line[len(_ID) :].strip().decode('latin-1')
    return ''
