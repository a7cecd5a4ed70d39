"""Stalls and lag of the event loop."""

from typing import Final

#: Interval at which the loop is expected to record that it runs.
RECORD_INTERVAL_S: Final = 0.1
#: Time without a record that counts as a stall: the process was paused, or got
#: no processor time.
STALL_TIME_S: Final = 0.3
#: Length of a stall in which this router may have missed updates of others:
#: half the time that users allow until all routers have an update.
LONG_STALL_S: Final = 1.0
#: Weight of a new overrun in the moving average of the lag: a single pause
#: counts for a few records, a loop that is always late shows within a second.
SMOOTHING: Final = 0.3
#: Bound on what one overrun adds, so that a process that was paused for long
#: does not count as overloaded.
MAX_OVERRUN_S: Final = 0.6
#: Lag above which a router counts as overloaded: each event of a stream is then
#: later than users allow.
MAX_LATENESS_S: Final = 0.2


class EventLoopMonitor:
    """Record of when the event loop ran, and of its lag.

    :param now: time in seconds.
    """

    def __init__(self, now: float) -> None:
        """Make a monitor for an event loop that runs now."""
        self._recorded_at = now
        self._stalled_at = now
        self._resumed_at = now
        self._long_resumed_at = now
        self._lateness = float()

    def note(self, now: float) -> None:
        """Record that the event loop runs.

        :param now: seconds on the clock.
        """
        if now - self._recorded_at > STALL_TIME_S:
            self._stalled_at = self._recorded_at
            self._resumed_at = now
        if now - self._recorded_at > LONG_STALL_S:
            self._long_resumed_at = now
        overrun = max(0, now - self._recorded_at - RECORD_INTERVAL_S)
        self._lateness = self._blend(overrun)
        self._recorded_at = now

    def find_last_resume(self, now: float) -> float:
        """Find when the event loop resumed after its last long stall.

        :param now: time in seconds.
        :returns: time in seconds; the start of the process without any stall.
        """
        is_resuming = now - self._recorded_at > LONG_STALL_S
        return now if is_resuming else self._long_resumed_at

    def measure_lateness(self, now: float) -> float:
        """Compute the lag of the event loop.

        :param now: time in seconds.
        :returns: seconds, as a moving average that includes the record due now.
        """
        overrun = now - self._recorded_at - RECORD_INTERVAL_S
        # Nothing to add until the next record is due.
        return self._lateness if overrun < 0 else self._blend(overrun)

    def is_overloaded(self, now: float) -> bool:
        """Tell whether the event loop is too late for more requests.

        :param now: time in seconds.
        :returns: whether it is.
        """
        return self.measure_lateness(now) > MAX_LATENESS_S

    def find_earliest_arrival(self, now: float) -> float:
        """Find the earliest time at which a signal seen now may have arrived.

        :param now: time in seconds.
        :returns: when the event loop last ran before the signal.
        """
        if now - self._resumed_at < STALL_TIME_S:
            return self._stalled_at
        return self._recorded_at

    def _blend(self, overrun: float) -> float:
        counted = min(MAX_OVERRUN_S, overrun)
        return self._lateness + SMOOTHING * (counted - self._lateness)
