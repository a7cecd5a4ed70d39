"""How much was asked for lately."""

import math
from typing import Final

#: Seconds over which demand is averaged: some requests of a workspace at
#: one router, which come about once a second and differ in size.
DEMAND_WINDOW: Final = 8.0

#: Part of the window for which the first requests are taken to be all that
#: came: one large request alone is not yet a rate.
MIN_KNOWN: Final = 0.5


class Demand:
    """Decaying sum of what was asked for.

    :param window: seconds over which it is averaged.
    """

    def __init__(self, window: float = DEMAND_WINDOW) -> None:
        """Start with nothing."""
        self._window = window
        self._total = float()
        self._at = float()
        self._began: float | None = None

    def record(self, amount: float, now: float) -> None:
        """Count a request.

        :param amount: what it asks for.
        :param now: seconds.
        """
        if self._began is None:
            self._began = now
        self._total = self._decay(now) + amount
        self._at = now

    def compute_rate(self, now: float) -> float:
        """Measure the demand of the last seconds.

        :param now: seconds.
        :returns: amount a second.
        """
        if self._began is None:
            return float()
        known = max(MIN_KNOWN * self._window, now - self._began)
        # An average over the whole window would take what came before the
        # first request for nothing: a third of the true rate after 3 of 8 s.
        part = 1 - math.exp(-known / self._window)
        return self._decay(now) / self._window / part

    def compute_window_average(self, now: float) -> float:
        """Compute the demand, assuming none before the first request.

        The sum of ``compute_rate`` over many routers that get single
        requests would be a multiple of the actual demand.

        :param now: seconds.
                :returns: amount a second.
        """
        return self._decay(now) / self._window

    def _decay(self, now: float) -> float:
        return self._total * math.exp((self._at - now) / self._window)
