"""Rules for fleets in which routers do not exchange with all peers."""

from dykemast._internal.models.caller_request import PromptPart
from dykemast._internal.models.gossip import ServerLoad
from dykemast._internal.operations.absent_servers import AbsentServers
from dykemast._internal.operations.peer_loads import (
    MAX_RELAYED_ROUTERS,
    PeerLoads,
)
from dykemast._internal.operations.prompt_caches import choose_prefix_owner
from dykemast._internal.serving.members.gossip_partners import (
    MAX_PEERS_PER_ROUND,
    MAX_PEERS_IN_LARGE_FLEET,
    choose_partners,
)
from dykemast._internal.utils.clock import read_clock
from tests.lib.serving_boards import make_board, make_boards


def test_loads_reach_routers_that_did_not_hear_them() -> None:
    first, second = PeerLoads(), PeerLoads()
    first.merge('node-9', (ServerLoad('a', 3, 40),), now=10)
    second.merge_relayed(first.export_recent(10.4), 'node-1', now=10.4)
    assert second.get_load('a', 10.5) == ServerLoad('a', 3, 40)
    assert second.get_load('a', 12.1).running == 0, (
        'relaying does not renew the report'
    )


def test_relayed_loads_never_replace_newer_or_own_loads() -> None:
    first, second = PeerLoads(), PeerLoads()
    first.merge('node-9', (ServerLoad('a', 3, 0),), now=10)
    first.merge('node-1', (ServerLoad('a', 5, 0),), now=10)
    second.merge('node-9', (ServerLoad('a', 1, 0),), now=10.2)
    second.merge_relayed(first.export_recent(10.4), 'node-1', now=10.4)
    assert second.get_load('a', 10.5).running == 1


def test_only_the_newest_loads_are_passed_on() -> None:
    loads = PeerLoads()
    for number in range(2 * MAX_RELAYED_ROUTERS):
        loads.merge(f'node-{number}', (), now=10 + number / 1000)
    names = {one.instance for one in loads.export_recent(10.2)}
    assert len(names) == MAX_RELAYED_ROUTERS
    assert 'node-0' not in names
    assert not loads.export_recent(20)


def test_partners_are_those_met_longest_ago() -> None:
    board = make_boards(40)[0]
    peers = list(board.peers.values())
    now = read_clock()
    for number, peer in enumerate(peers):
        peer.last_exchange_at = now - 100 + number
    assert choose_partners(board) == peers[:MAX_PEERS_IN_LARGE_FLEET]


def test_a_silent_peer_is_tried_as_well() -> None:
    board = make_boards(40)[0]
    silent = list(board.peers.values())[-1]
    silent.last_heard_at = 0
    assert silent in choose_partners(board)
    for peer in board.peers.values():
        peer.last_heard_at = 0
    assert len(choose_partners(board)) == MAX_PEERS_IN_LARGE_FLEET


def test_all_peers_of_a_small_fleet_are_met_in_each_round() -> None:
    board = make_boards(MAX_PEERS_PER_ROUND + 1)[0]
    assert len(choose_partners(board)) == MAX_PEERS_PER_ROUND
    assert not choose_partners(make_board())


def test_an_absent_server_is_skipped_here_and_at_peers() -> None:
    first, second = AbsentServers(), AbsentServers()
    first.record('a', now=10, seconds=4)
    second.merge(first.export(11), now=11)
    assert second.is_absent('a', 13.9)
    # The report that returns does not extend the time.
    first.merge(second.export(12), now=12)
    assert not first.is_absent('a', 14.1)
    assert not first.export(14.1)


def test_all_routers_choose_one_owner_of_a_shared_prefix() -> None:
    servers = [f'engine-{number}' for number in range(9)]
    shared, other = PromptPart('aa', 500), PromptPart('bb', 70)
    home = choose_prefix_owner([shared, PromptPart('own', 9)], servers)
    assert home in servers
    assert (
        choose_prefix_owner([shared, PromptPart('x', 5)], reversed(servers))
        == home
    )
    assert choose_prefix_owner([shared, other], [home, 'engine-x']) == home
    assert choose_prefix_owner([other], servers) is None, (
        'the part is not shared'
    )
