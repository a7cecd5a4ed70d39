"""How much was asked for lately."""

import math
from typing import Final

#: Seconds over which demand is averaged: some requests of a workspace at
#: one router, which come about once a second and differ in size.
DEMAND_WINDOW: Final = 8.0


class Demand:
    """Decaying sum of what was asked for.

    :param window: seconds over which it is averaged.
    """

    def __init__(self, window: float = DEMAND_WINDOW) -> None:
        """Start with nothing."""
        self._window = window
        self._total = float()
        self._at = float()

    def note(self, amount: float, now: float) -> None:
        """Count a request.

        :param amount: what it asks for.
        :param now: seconds.
        """
        self._total = self._decay(now) + amount
        self._at = now

    def measure(self, now: float) -> float:
        """Measure the demand of the last seconds.

        :param now: seconds.
        :returns: amount a second.
        """
        return self._decay(now) / self._window

    def _decay(self, now: float) -> float:
        return self._total * math.exp((self._at - now) / self._window)
