"""What a relayed stream has shown so far."""

from dykemast._internal.path.relays import Event


class SeenStream:
    """What a relayed stream has shown so far, and the end that waits."""

    def __init__(self) -> None:
        """Start with nothing seen."""
        self.pieces = 0
        self.usage: int | None = None
        self.held: list[bytes] = []

    def note(self, event: Event) -> bool:
        """Take in an event.

        :param event: the event.
        :returns: whether it may be passed on before the bill.
        """
        if event.usage is not None:
            self.usage = event.usage
        if event.last or event.usage is not None:
            self.held.append(event.body)
            return False
        self.pieces += 1
        return True
