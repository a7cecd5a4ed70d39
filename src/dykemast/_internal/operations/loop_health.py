"""Whether the loops of a program do their work."""

from typing import Final

#: Seconds for which a loop has to run for its failures to be forgotten: a
#: few rounds of the slowest loop that reads the store.
STEADY_TIME: Final = 5.0
#: Failures without such a time between them after which a loop counts as
#: failing: one or two may be one bad answer, and a router that is not ready
#: serves nobody.
MAX_FAILURES: Final = 3
#: Seconds before a loop that failed runs again, for each failure in a row,
#: and at most: an entry that fails it each time must not take the processor.
PAUSE_STEP: Final = 0.2
MAX_PAUSE: Final = 2.0


class LoopHealth:
    """Failures of loops, by the loops' names."""

    def __init__(self) -> None:
        """Know of none."""
        self._in_a_row: dict[str, int] = {}
        self._failed_at: dict[str, float] = {}
        #: Failures of all loops since the start.
        self.failures = 0

    def note_failure(self, name: str, now: float) -> float:
        """Take note that a loop ended.

        :param name: the loop.
        :param now: seconds.
        :returns: seconds to wait before it runs again.
        """
        steady = now - self._failed_at.get(name, now) > STEADY_TIME + MAX_PAUSE
        in_a_row = 1 if steady else 1 + self._in_a_row.get(name, 0)
        self._in_a_row[name] = in_a_row
        self._failed_at[name] = now
        self.failures += 1
        return min(MAX_PAUSE, PAUSE_STEP * in_a_row)

    def list_failing(self, now: float) -> list[str]:
        """List the loops that do not do their work.

        :param now: seconds.
        :returns: their names.
        """
        return [
            name
            for name, in_a_row in self._in_a_row.items()
            if in_a_row >= MAX_FAILURES
            and now - self._failed_at[name] <= STEADY_TIME + MAX_PAUSE
        ]
