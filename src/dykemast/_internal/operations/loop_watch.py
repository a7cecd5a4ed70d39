"""Since when the event loop may have missed something."""

from typing import Final

#: Seconds between two notes.
WATCH_PAUSE: Final = 0.1
#: Seconds without a note that show that the loop stood still: a process that
#: was paused, or had no processor.
STALL_TIME: Final = 0.3


class LoopWatch:
    """Moments at which the loop ran.

    :param now: seconds on the steady clock.
    """

    def __init__(self, now: float) -> None:
        """Begin to watch."""
        self._seen = now
        self._stalled_at = now
        self._woke_at = now

    def note(self, now: float) -> None:
        """Note that the loop runs.

        :param now: seconds on the steady clock.
        """
        if now - self._seen > STALL_TIME:
            self._stalled_at = self._seen
            self._woke_at = now
        self._seen = now

    def find_earliest(self, now: float) -> float:
        """Tell when a signal that is seen now may have come at the earliest.

        :param now: seconds on the steady clock.
        :returns: when the loop was last known to run before it.
        """
        if now - self._woke_at < STALL_TIME:
            return self._stalled_at
        return self._seen
