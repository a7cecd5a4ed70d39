"""Tokens that are set aside for requests, or were not."""

import math
from typing import Final, NamedTuple

#: Before all times of the steady clock.
NEVER: Final = -math.inf


class Hold(NamedTuple):
    """Tokens that are set aside for one request.

    :param workspace: whose budget they are of.
    :param tokens: how many.
    """

    workspace: str
    tokens: int


class Shortage(NamedTuple):
    """A hold that was refused.

    :param tokens: how many were wanted.
    :param until: seconds on the steady clock until which this is believed.
    """

    tokens: int = 0
    until: float = NEVER
