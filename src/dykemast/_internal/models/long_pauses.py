"""Counts of long pauses of streams, as gossiped between routers."""

from typing import NamedTuple


class LongPauses(NamedTuple):
    """Recent long pauses of streams at an engine, as observed by one router.

    :param server: id of the engine.
    :param too_long: pauses that exceeded the objective of their route.
    :param in_time: pauses that did not.
    """

    server: str
    too_long: int
    in_time: int
