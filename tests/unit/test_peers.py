"""Which routers count as reachable."""

from dykemast._internal.blackboard import Fleet
from dykemast._internal.models.fleet import Instance, PeerCard
from dykemast._internal.operations.instance_list import record_listing
from dykemast._internal.operations.peers import (
    list_peers,
    record_card,
    mark_unreachable,
)

NAMES = ('node-0', 'node-1')


def make_card(name: str) -> PeerCard:
    """Make the card of a router."""
    return PeerCard(
        instance=name,
        incarnation=f'{name}/1',
        hall='north',
        host='127.0.0.1',
        caller_port=1,
        peer_port=2,
    )


def make_instance(name: str) -> Instance:
    """Make a router's entry in the platform's list."""
    return Instance(name, 'router', 'north', '127.0.0.1', 2)


def make_fleet() -> Fleet:
    """Make a fleet of two listed routers with a recent heartbeat."""
    fleet = Fleet()
    record_listing(fleet, [make_instance(name) for name in NAMES], 0)
    for name in NAMES:
        record_card(fleet, make_card(name), 1, 0)
    return fleet


def list_names(fleet: Fleet, now: float) -> list[str]:
    return [card.instance for card in list_peers(fleet, now)]


def test_a_router_that_is_not_listed_any_more_is_unreachable() -> None:
    # A router that is removed from the list is not called any more, so that its
    # silence is not noticed.
    fleet = make_fleet()
    assert list_names(fleet, 1) == list(NAMES)
    record_listing(fleet, [make_instance('node-1')], 1)
    assert list_names(fleet, 1) == ['node-1']


def test_a_router_that_is_not_listed_yet_is_reachable() -> None:
    fleet = make_fleet()
    record_card(fleet, make_card('node-2'), 1, 1)
    assert list_names(fleet, 1) == [*NAMES, 'node-2']


def test_a_router_that_did_not_answer_is_unreachable() -> None:
    fleet = make_fleet()
    mark_unreachable(fleet, 'node-0')
    assert list_names(fleet, 1) == ['node-1']
