"""Consumption and demand of the holder of a lease."""

import math
from typing import Final

#: Averaging window of the demand and the peak.
RATE_WINDOW_S: Final = 60.0
#: Weight of a new hold in the running mean.
MEAN_HOLD_WEIGHT: Final = 0.1


class Usage:
    """Consumption of a holder.

    :param now: seconds.
    """

    def __init__(self, now: float) -> None:
        """Create the usage of a holder that has consumed nothing."""
        self.spent = 0
        self.held = 0
        self.waiting = 0
        self.mean_hold_tokens = float(0)
        self._rate = float(0)
        self._peak = float(0)
        self.last_hold_at = now

    def count_committed(self) -> int:
        """Count the spent and held tokens.

        :returns: net tokens.
        """
        return self.spent + self.held

    def add_hold(self, tokens: int, now: float) -> None:
        """Reserve tokens.

        :param tokens: number of tokens.
        :param now: seconds.
        """
        self.held += tokens
        self._peak = max(self.held, self.compute_peak(now))
        first = self.mean_hold_tokens == 0
        weight = 1.0 if first else MEAN_HOLD_WEIGHT
        self.mean_hold_tokens += (tokens - self.mean_hold_tokens) * weight
        self._rate = self.compute_rate(now) + tokens / RATE_WINDOW_S
        self.last_hold_at = now

    def wait(self, tokens: int) -> None:
        """Record that a request waits for tokens, or no longer does.

        :param tokens: number of tokens; negative when it no longer waits.
        """
        self.waiting += tokens

    def settle(self, held: int, used: int) -> None:
        """End a hold.

        :param held: tokens reserved before.
        :param used: tokens consumed; the rest is available again.
        """
        self.held -= held
        self.spent += used
        # Only consumed tokens count as demand, not unused reserved ones.
        self._rate = max(0, self._rate - (held - used) / RATE_WINDOW_S)

    def compute_rate(self, now: float) -> float:
        """Compute the recent demand.

        :param now: seconds.
        :returns: tokens per second.
        """
        age = max(0, now - self.last_hold_at)
        return self._rate * math.exp(-age / RATE_WINDOW_S)

    def compute_peak(self, now: float) -> float:
        """Compute the recent peak of held tokens, decaying with time.

        :param now: seconds.
        :returns: tokens.
        """
        age = max(0, now - self.last_hold_at)
        return self._peak * math.exp(-age / RATE_WINDOW_S)
