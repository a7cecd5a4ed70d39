"""Rate limiter with a small burst."""

import math
from typing import Final

from dykemast._internal.utils.clock import read_clock

#: Operations that may follow each other at once after an idle period.
BURST_OPERATIONS: Final = 4


class RateLimiter:
    """Rate limiter for one kind of operation.

    :param interval_s: average seconds between two operations.
    """

    def __init__(self, interval_s: float) -> None:
        """Make a limiter with its full burst available."""
        self._interval_s = interval_s
        self._due = -math.inf

    def record_write(self) -> float:
        """Record an operation.

        :returns: seconds to wait before the next one.
        """
        now = read_clock()
        self._due = max(self._due, now - BURST_OPERATIONS * self._interval_s)
        self._due += self._interval_s
        return max(0, self._due - now)
