"""A rule of the product that is broken on purpose."""

from typing import NamedTuple


class Mutation(NamedTuple):
    """One broken rule.

    :param name: short name.
    :param promise: what of the brief it breaks.
    :param path: file below ``src``.
    :param old: text to replace; it stands there exactly once.
    :param new: text to put there.
    :param test: test that must fail.
    """

    name: str
    promise: str
    path: str
    old: str
    new: str
    test: str
