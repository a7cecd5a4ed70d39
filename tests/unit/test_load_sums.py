"""One choice adds up the reports of all routers once, not for each server.

Otherwise the processor time of a choice grows with engines times routers. These
tests count the reports that are read for one choice.
"""

from collections.abc import Iterator
from typing import Any

from dykemast._internal.models.gossip import ServerLoad
from dykemast._internal.operations import peer_loads

SIZES = (30, 300, 1000)
SERVERS = 61


class CountedReports(dict[str, Any]):
    """Reports by router that count how many of them are read."""

    def __init__(self, reports: dict[str, Any]) -> None:
        super().__init__(reports)
        self.reads = 0

    def values(self) -> Iterator[Any]:  # noqa: WPS110 -- as a dictionary has
        for reports in super().values():
            self.reads += 1
            yield reports


def merge_all(size: int) -> peer_loads.PeerLoads:
    """Merge one report of each router, evenly within a second."""
    loads = peer_loads.PeerLoads()
    for number in range(size):
        reports = (ServerLoad('engine-0', 1, number),)
        loads.merge(f'node-{number}', reports, number / size)
    return loads


def test_a_choice_among_servers_looks_at_each_router_once() -> None:
    for size in SIZES:
        loads = merge_all(size)
        loads._received = CountedReports(loads._received)
        for server in range(SERVERS):
            loads.get_load(f'engine-{server}', 1)
        assert loads._received.reads <= size, size


def test_requests_are_added_up_as_they_were_told() -> None:
    loads = merge_all(30)
    assert loads.get_load('engine-0', 1) == ServerLoad('engine-0', 30, 435)
    assert loads.get_load('engine-1', 1) == ServerLoad('engine-1', 0, 0)
    loads.merge('node-0', (ServerLoad('engine-1', 5, 7),), 1)
    assert loads.get_load('engine-0', 1).running == 29
    assert loads.get_load('engine-1', 1) == ServerLoad('engine-1', 5, 7)


def test_what_is_too_old_is_not_added_up() -> None:
    loads = merge_all(30)
    loads.merge('node-0', (ServerLoad('engine-1', 5, 7),), 1)
    later = 0.5 + peer_loads.MAX_PEER_LOAD_AGE_S
    assert loads.get_load('engine-0', 1).running == 29
    assert loads.get_load('engine-0', later).running == 14
    assert loads.get_load('engine-1', later).running == 5
