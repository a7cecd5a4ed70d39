"""Long pauses of streams, as routers tell each other."""

from typing import NamedTuple


class LongPauses(NamedTuple):
    """Long pauses of streams at an engine that one router has seen lately.

    :param server: id of the engine.
    :param broken: those that were longer than their routes allow.
    :param kept: those that were not.
    """

    server: str
    broken: int
    kept: int
