"""What a plan is made of."""

from typing import NamedTuple


class Fault(NamedTuple):
    """One fault.

    :param at: seconds from the start.
    :param kind: name of the method that brings it about.
    :param target: what it strikes.
    :param how: its variant.
    :param lasts: seconds.
    """

    at: float
    kind: str
    target: str
    how: str
    lasts: float
