"""Progress of a relayed stream."""

from dykemast._internal.path.relays import Event


class StreamProgress:
    """Usage and number of relayed events, and events held until the bill."""

    def __init__(self) -> None:
        """Make the progress of a stream with no events."""
        self.relayed_events = 0
        self.usage: int | None = None
        self.held_events: list[bytes] = []

    def record_event(self, event: Event) -> bool:
        """Record an event.

        :param event: the event.
        :returns: whether it may be relayed before the bill is durable.
        """
        if event.usage is not None:
            self.usage = event.usage
        if event.last or event.usage is not None:
            self.held_events.append(event.body)
            return False
        self.relayed_events += 1
        return True
