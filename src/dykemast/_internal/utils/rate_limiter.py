"""Bound on how often something is done, with a little burst."""

import math
from typing import Final

from dykemast._internal.utils.clock import read_clock

#: Times that something may be done in a row after a quiet while.
BURST: Final = 4


class RateLimiter:
    """Pace of one kind of work.

    :param pause: seconds between two times, in the long run.
    """

    def __init__(self, pause: float) -> None:
        """Start rested."""
        self._pause = pause
        self._due = -math.inf

    def record_write(self) -> float:
        """Note that it was done.

        :returns: seconds to wait before it may be done again.
        """
        now = read_clock()
        self._due = max(self._due, now - BURST * self._pause)
        self._due += self._pause
        return max(0, self._due - now)
