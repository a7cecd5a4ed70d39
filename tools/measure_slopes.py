"""Slopes for docs/CAPACITY.md: cost of one more budget, peer, key, worker."""

import tracemalloc
from collections.abc import Callable, Iterator
from typing import Any

import msgspec

from tools import slope_times as times
from tools import slope_worlds as worlds


def measure_slopes() -> list[dict[str, Any]]:
    """Measure all slopes.

    :returns: a row for each.
    """
    slopes = [
        weigh('budget held by a router', worlds.make_book),
        weigh('key known to a journal keeper', worlds.make_records),
        weigh('peer known to a router', worlds.make_fleet),
        *times.time_leases(),
        *times.weigh_leases(),
        *times.time_journal(),
        *times.time_news(),
        *times.time_routing(),
        *time_revision(),
    ]
    return [{'figure': 'slope', **slope._asdict()} for slope in slopes]


def weigh(name: str, make: Callable[[int], Any]) -> times.Slope:
    """Measure the memory that one more thing takes.

    :param name: of the thing.
    :param make: makes many of them.
    :returns: the slope.
    """
    tracemalloc.start()
    made = make(times.COUNT)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    # Whatever was made has to be there while it is weighed.
    assert made is not None
    return times.Slope(name, 'bytes of memory', size / times.COUNT)


def time_revision() -> Iterator[times.Slope]:
    """Measure configurations."""
    revision = worlds.make_revision(times.WORKSPACES)
    body = msgspec.json.encode(revision)

    def decode() -> None:
        msgspec.json.decode(body, type=type(revision))

    size = len(body) / times.WORKSPACES
    yield times.Slope('workspace in a revision', times.STORED, size)
    name = f'revision of {times.WORKSPACES} workspaces read'
    yield times.Slope(name, times.PROCESSOR, times.clock(decode, 1))
