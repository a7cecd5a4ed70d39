"""What a relayed stream has shown so far."""

from dykemast._internal.path.relays import Event


class StreamProgress:
    """What a relayed stream has shown so far, and the end that waits."""

    def __init__(self) -> None:
        """Start with nothing seen."""
        self.relayed_events = 0
        self.usage: int | None = None
        self.held_events: list[bytes] = []

    def record_event(self, event: Event) -> bool:
        """Take in an event.

        :param event: the event.
        :returns: whether it may be passed on before the bill.
        """
        if event.usage is not None:
            self.usage = event.usage
        if event.last or event.usage is not None:
            self.held_events.append(event.body)
            return False
        self.relayed_events += 1
        return True
