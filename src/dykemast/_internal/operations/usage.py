"""What the holder of a lease consumes, and how fast."""

import math
from typing import Final

#: Seconds over which demand is averaged.
RATE_WINDOW: Final = 60.0
#: Weight of a new hold in the running mean of hold sizes.
GRAIN_WEIGHT: Final = 0.1


class Usage:
    """What a holder consumes.

    :param now: seconds.
    """

    def __init__(self, now: float) -> None:
        """Start with nothing consumed."""
        self.spent = 0
        self.held = 0
        self.waiting = 0
        self.mean_hold_tokens = float(0)
        self._rate = float(0)
        self._peak = float(0)
        self.touched = now

    def count_committed(self) -> int:
        """Count what is consumed or may still be.

        :returns: net tokens.
        """
        return self.spent + self.held

    def add_hold(self, tokens: int, now: float) -> None:
        """Reserve tokens.

        :param tokens: how many.
        :param now: seconds.
        """
        self.held += tokens
        self._peak = max(self.held, self.find_peak(now))
        first = self.mean_hold_tokens == 0
        weight = 1.0 if first else GRAIN_WEIGHT
        self.mean_hold_tokens += (tokens - self.mean_hold_tokens) * weight
        self._rate = self.find_rate(now) + tokens / RATE_WINDOW
        self.touched = now

    def wait(self, tokens: int) -> None:
        """Note that a request waits for room, or no longer does.

        :param tokens: how many; below 0 when it no longer waits.
        """
        self.waiting += tokens

    def settle(self, held: int, used: int) -> None:
        """Turn a hold into consumption.

        :param held: tokens reserved before.
        :param used: tokens consumed; the rest is free again.
        """
        self.held -= held
        self.spent += used
        # Demand is what is consumed; a cap that was not used is not demand.
        self._rate = max(0, self._rate - (held - used) / RATE_WINDOW)

    def find_rate(self, now: float) -> float:
        """Find the recent demand.

        :param now: seconds.
        :returns: tokens a second.
        """
        age = max(0, now - self.touched)
        return self._rate * math.exp(-age / RATE_WINDOW)

    def find_peak(self, now: float) -> float:
        """Find how much was held at once lately.

        :param now: seconds.
        :returns: tokens.
        """
        age = max(0, now - self.touched)
        return self._peak * math.exp(-age / RATE_WINDOW)
