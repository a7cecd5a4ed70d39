"""Gossip messages are small enough for slow links between halls.

In a fleet of 195 routers, each sends and receives 30 messages per second, and
the traffic between halls is limited to 4 KB/s.
"""

from dykemast._internal.models.gossip import ServerLoad
from dykemast._internal.operations.peer_loads import MAX_RELAYED_ROUTERS
from dykemast._internal.serving.members.gossip_messages import GossipMessages
from dykemast._internal.serving.state.loads import make_loads
from dykemast._internal.utils.clock import read_clock
from tests.lib.serving_boards import make_board, make_boards

MAX_MESSAGE_BYTES = 1300
SERVERS_EACH = 4


def make_busy_messages(routers: int) -> GossipMessages:
    """Make the messages of a router in a fleet where all have requests."""
    boards = make_boards(routers)
    loads = make_loads()
    now = read_clock()
    for number in range(1, routers):
        server_loads = [
            ServerLoad('i-{0:04}9c2e'.format(17 * number + server), 1, 900)
            for server in range(SERVERS_EACH)
        ]
        loads.peers.merge(f'node-{number}', tuple(server_loads), now)
    return GossipMessages(boards[0], loads)


def test_messages_of_a_large_fleet_are_small() -> None:
    assert len(make_busy_messages(195).build_message()) < MAX_MESSAGE_BYTES


def test_messages_are_read_as_they_were_built() -> None:
    body = make_busy_messages(195).build_message()
    message = GossipMessages(
        make_board('node-999'), make_loads()
    ).apply_message(body)
    assert message.card.instance == 'node-0'
    assert len(message.relayed) == MAX_RELAYED_ROUTERS
    assert {len(one.loads) for one in message.relayed} == {SERVERS_EACH}


def test_invalid_messages_are_skipped() -> None:
    reader = GossipMessages(make_board(), make_loads())
    for body in (b'', b'no news', make_busy_messages(30).build_message()[:-9]):
        assert reader.apply_message(body) is None
