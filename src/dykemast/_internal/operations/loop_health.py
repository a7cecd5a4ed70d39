"""Health of background loops, judged by their failures."""

from typing import Final

#: Time without a failure that resets a loop's failure count: a few rounds of
#: the slowest loop that reads the store.
STEADY_TIME_S: Final = 5.0
#: Failures in a row after which a loop counts as failing: one or two may come
#: from one bad response, and a router that is not ready serves no requests.
MAX_FAILURES: Final = 3
#: Delay before a failed loop is restarted, for each failure in a row, and its
#: bound: an entry that fails it each time must not use up the processor.
RESTART_DELAY_STEP_S: Final = 0.2
MAX_RESTART_DELAY_S: Final = 2.0


class LoopHealth:
    """Failures of background loops, by name of the loop."""

    def __init__(self) -> None:
        """Make a record without failures."""
        self._in_a_row: dict[str, int] = {}
        self._failed_at: dict[str, float] = {}
        #: Failures of all loops since the start.
        self.failures = 0

    def record_failure(self, name: str, now: float) -> float:
        """Record that a loop ended.

        :param name: the loop.
        :param now: time in seconds.
        :returns: seconds to wait before it is restarted.
        """
        steady = (
            now - self._failed_at.get(name, now)
            > STEADY_TIME_S + MAX_RESTART_DELAY_S
        )
        in_a_row = 1 if steady else 1 + self._in_a_row.get(name, 0)
        self._in_a_row[name] = in_a_row
        self._failed_at[name] = now
        self.failures += 1
        return min(MAX_RESTART_DELAY_S, RESTART_DELAY_STEP_S * in_a_row)

    def list_failing(self, now: float) -> list[str]:
        """List the loops that keep failing.

        :param now: time in seconds.
        :returns: their names.
        """
        return [
            name
            for name, in_a_row in self._in_a_row.items()
            if in_a_row >= MAX_FAILURES
            and now - self._failed_at[name]
            <= STEADY_TIME_S + MAX_RESTART_DELAY_S
        ]
