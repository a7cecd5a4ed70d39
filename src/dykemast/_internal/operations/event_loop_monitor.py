"""Since when the event loop may have missed something, and how late it is."""

from typing import Final

#: Seconds between two notes.
WATCH_PAUSE: Final = 0.1
#: Seconds without a note that show that the loop stood still: a process that
#: was paused, or had no processor.
STALL_TIME: Final = 0.3
#: Seconds without a note after which others may have told what this router
#: has not heard: half of what users give until all know.
LONG_PAUSE: Final = 1.0
#: Part of a new overrun that goes into the lateness: one pause alone counts
#: for a few notes, a loop that is late at each note within a second.
SMOOTHING: Final = 0.3
#: Seconds that one overrun counts for at most, so that a process that was
#: paused for long is not taken for one without processor time.
MAX_OVERRUN: Final = 0.6
#: Seconds of lateness from which on a router has no processor time left for
#: more requests: each event of a stream is then late by more than the 0.12 to
#: 0.2 s that users allow, and a read of the store takes 2 s of turns.
MAX_LATENESS: Final = 0.2


class EventLoopMonitor:
    """Moments at which the loop ran.

    :param now: seconds on the clock.
    """

    def __init__(self, now: float) -> None:
        """Begin to watch."""
        self._seen = now
        self._stalled_at = now
        self._woke_at = now
        self._long_woke_at = now
        self._lateness = float()

    def note(self, now: float) -> None:
        """Note that the loop runs.

        :param now: seconds on the clock.
        """
        if now - self._seen > STALL_TIME:
            self._stalled_at = self._seen
            self._woke_at = now
        if now - self._seen > LONG_PAUSE:
            self._long_woke_at = now
        overrun = max(0, now - self._seen - WATCH_PAUSE)
        self._lateness = self._blend(overrun)
        self._seen = now

    def find_last_resume(self, now: float) -> float:
        """Tell when the loop went on after it last stood still for long.

        :param now: seconds on the clock.
        :returns: seconds; the start of the process when it never did.
        """
        is_waking = now - self._seen > LONG_PAUSE
        return now if is_waking else self._long_woke_at

    def measure_lateness(self, now: float) -> float:
        """Measure how late the loop gets to what is due.

        :param now: seconds on the clock.
        :returns: seconds, averaged over the last notes and the one due now.
        """
        overrun = now - self._seen - WATCH_PAUSE
        # Before the next note is due, there is nothing to add.
        return self._lateness if overrun < 0 else self._blend(overrun)

    def is_overloaded(self, now: float) -> bool:
        """Tell whether the loop is too late to take more on.

        :param now: seconds on the clock.
        :returns: whether it is.
        """
        return self.measure_lateness(now) > MAX_LATENESS

    def find_earliest(self, now: float) -> float:
        """Tell when a signal that is seen now may have come at the earliest.

        :param now: seconds on the clock.
        :returns: when the loop was last known to run before it.
        """
        if now - self._woke_at < STALL_TIME:
            return self._stalled_at
        return self._seen

    def _blend(self, overrun: float) -> float:
        counted = min(MAX_OVERRUN, overrun)
        return self._lateness + SMOOTHING * (counted - self._lateness)
