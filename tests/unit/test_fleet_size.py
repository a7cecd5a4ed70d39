"""Background work of a router by the size of its fleet.

In a fleet of 195 routers, work for each peer or budget that a router never used
exceeds the limit for all background work, 2.7 % of a core. The tests count
operations, not time.
"""

from collections.abc import Iterator
from unittest import mock

from dykemast._internal.models.gossip import ServerLoad
from dykemast._internal.operations import peer_loads, rendezvous
from dykemast._internal.platform.servers import SERVER_KIND
from dykemast._internal.serving.knowledge.periodic_reads import (
    FIRST_AGE_SHARE_IN_LARGE_FLEET,
    PeriodicRead,
    is_read_due,
)
from dykemast._internal.serving.knowledge.server_entries import make_updater
from dykemast._internal.serving.process.assembly import assemble
from dykemast._internal.serving.state.board import Peer, ServingBoard
from dykemast._internal.serving.tokens import budget_upkeep
from dykemast._internal.utils.clock import read_clock
from tests.lib.serving_boards import make_board, make_peer

SIZES = (30, 300, 1000)
BUDGETS = 40


class CountedPeers(dict[str, Peer]):
    """Peers of a board that count how many of them were visited."""

    def __init__(self, peers: dict[str, Peer]) -> None:
        super().__init__(peers)
        self.visits = 0

    def values(self) -> Iterator[Peer]:  # noqa: WPS110 -- as a dictionary has
        for peer in super().values():
            self.visits += 1
            yield peer


def list_names(size: int) -> list[str]:
    return ['node-{0:04}'.format(number) for number in range(size)]


def make_fleet(size: int) -> ServingBoard:
    """Make the board of the last router of a fleet, with all peers live."""
    *others, last = list_names(size + 1)
    board = make_board(last)
    board.peers = CountedPeers({name: make_peer(name) for name in others})
    return board


def test_unused_budgets_cost_no_iteration_over_peers() -> None:
    for size in SIZES:
        upkeep = assemble(make_fleet(size)).upkeep
        accounts = [
            upkeep.budgets.get_account(f'workspace-{number}')
            for number in range(BUDGETS)
        ]
        with mock.patch.object(
            rendezvous, 'hash_text', wraps=rendezvous.hash_text
        ) as hashed:
            assert not any(
                budget_upkeep.needs_write(upkeep, one) for one in accounts
            )
        assert not hashed.call_count, size
        assert not upkeep.board.peers.visits, size


def test_a_check_for_a_due_listing_visits_few_peers() -> None:
    for size in SIZES:
        board = make_fleet(size)
        periodic_read = PeriodicRead(make_updater(board), 1.4)
        now = read_clock()
        board.last_read_at[SERVER_KIND] = (
            now - FIRST_AGE_SHARE_IN_LARGE_FLEET * 1.3
        )
        assert not is_read_due(board, periodic_read)
        assert not board.peers.visits, 'no router has to list yet'
        board.last_read_at[SERVER_KIND] = now - 1.3
        assert not is_read_due(board, periodic_read)
        assert board.peers.visits <= 3, (size, board.peers.visits)
        board.last_read_at[SERVER_KIND] = now - 1.5
        assert is_read_due(board, periodic_read), 'the last one lists as well'


def apply_all(names: list[str]) -> peer_loads.PeerLoads:
    """Apply the loads of each of these routers, in this order."""
    loads = peer_loads.PeerLoads()
    for number, name in enumerate(names):
        server_loads = (ServerLoad('engine-0', 1, number),)
        loads.merge(name, server_loads, number / len(names))
    return loads


def count_encoded(loads: peer_loads.PeerLoads) -> int:
    written = mock.Mock(wraps=peer_loads.RelayedLoads)
    with mock.patch.object(peer_loads, 'RelayedLoads', written):
        loads.export_recent(1)
    return written.call_count


def test_only_relayed_loads_are_encoded() -> None:
    for size in SIZES:
        names = list_names(size)
        loads = apply_all(names)
        assert count_encoded(loads) == peer_loads.MAX_RELAYED_ROUTERS
        newest = reversed(names[-peer_loads.MAX_RELAYED_ROUTERS :])
        assert [one.instance for one in loads.export_recent(1)] == list(newest)
