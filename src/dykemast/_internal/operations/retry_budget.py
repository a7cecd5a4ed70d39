"""How many requests may be sent once more."""

import collections
from typing import Final

#: Part of this router's share that is used; the rest covers windows that
#: slide and peers that are not known yet.
SAFETY: Final = 0.6


class RetryBudget:
    """Second sends to one service by this router.

    All routers together may repeat a part of the requests, and some more, in
    any window. Each keeps to the part of its own requests and to its share
    of the rest.

    :param ratio: second sends allowed for each request.
    :param slack: those allowed beyond, to all routers together.
    :param window: seconds in which they are counted.
    """

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        """Count nothing yet."""
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def record_request(self, now: float) -> None:
        """Count a request.

        :param now: seconds.
        """
        self._requests.append(now)
        self._forget(now)

    def consume(self, now: float, routers: int) -> bool:
        """Use up a second send.

        :param now: seconds.
        :param routers: routers that share the allowance.
        :returns: whether there was one.
        """
        self._forget(now)
        earned = self._ratio * len(self._requests)
        allowed = SAFETY * (earned + self._slack / max(1, routers))
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    def _forget(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] < now - self._window:
                times.popleft()
