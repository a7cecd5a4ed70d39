"""Tokens reserved for requests, and refused reservations."""

import math
from typing import Final, NamedTuple

#: Earlier than any time of the monotonic clock.
NEVER: Final = -math.inf


class Hold(NamedTuple):
    """Tokens reserved for one request.

    :param workspace: workspace of the budget.
    :param tokens: number of tokens.
    """

    workspace: str
    tokens: int


class Shortage(NamedTuple):
    """A hold that was refused.

    :param tokens: number of tokens requested.
    :param until: time on the monotonic clock until which this is valid.
    """

    tokens: int = 0
    until: float = NEVER
