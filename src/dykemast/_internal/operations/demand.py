"""Recent demand as a decaying average."""

import math
from typing import Final

#: Averaging window: long enough for several requests of a workspace at one
#: router, which arrive about once a second and differ in size.
DEMAND_WINDOW_S: Final = 8.0

#: Part of the window over which the first requests are averaged at least: a
#: single large request is not a rate.
MIN_KNOWN: Final = 0.5


class Demand:
    """Exponentially decaying sum of requested amounts.

    :param window: averaging window in seconds.
    """

    def __init__(self, window: float = DEMAND_WINDOW_S) -> None:
        """Create an empty sum."""
        self._window = window
        self._total = float()
        self._at = float()
        self._began: float | None = None

    def record(self, amount: float, now: float) -> None:
        """Record a request.

        :param amount: requested amount.
        :param now: seconds.
        """
        if self._began is None:
            self._began = now
        self._total = self._decay(now) + amount
        self._at = now

    def compute_rate(self, now: float) -> float:
        """Compute the recent demand since the first request.

        :param now: seconds.
        :returns: amount per second.
        """
        if self._began is None:
            return float()
        known = max(MIN_KNOWN * self._window, now - self._began)
        # An average over the whole window would count the time before the
        # first request as idle.
        part = 1 - math.exp(-known / self._window)
        return self._decay(now) / self._window / part

    def compute_window_average(self, now: float) -> float:
        """Compute the demand, assuming none before the first request.

        The sum of ``compute_rate`` over many routers that get single
        requests would be a multiple of the actual demand.

        :param now: seconds.
        :returns: amount per second.
        """
        return self._decay(now) / self._window

    def _decay(self, now: float) -> float:
        return self._total * math.exp((self._at - now) / self._window)
