"""Limit on retries of requests to backend servers."""

import collections
from typing import Final

#: Part of its share that a router uses. The rest covers differences between
#: sliding windows, and peers that this router does not know yet.
SHARE_IN_USE: Final = 0.6


class RetryBudget:
    """Retries of this router at one service.

    In any window all routers together may retry a fraction of the requests,
    plus a fixed number. Each router uses the fraction of its own requests and
    an equal share of the fixed number.

    :param ratio: retries allowed for each request.
    :param slack: retries allowed in addition, for all routers together.
    :param window: length of the sliding window in seconds.
    """

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        """Start with empty counts."""
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def record_request(self, now: float) -> None:
        """Count a request.

        :param now: seconds on the monotonic clock.
        """
        self._requests.append(now)
        self._drop_expired(now)

    def consume(self, now: float, routers: int) -> bool:
        """Consume one retry.

        :param now: seconds on the monotonic clock.
        :param routers: number of routers that share the budget.
        :returns: whether there was one.
        """
        self._drop_expired(now)
        earned = self._ratio * len(self._requests)
        allowed = SHARE_IN_USE * (earned + self._slack / max(1, routers))
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    def _drop_expired(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] < now - self._window:
                times.popleft()
