"""What a router does each second for the size of its fleet.

With 195 routers the looks at others took 3.8 % of a core in each of them,
idle, counted by processor time of the functions at the rates at which they
run: 2.5 % to find out who keeps budgets that this router never drew on, 0.7 %
to write down what all others have at servers, of which 24 are passed on.
Users allow 2.7 % for all of control. What is counted here is work, not time.
"""

from collections.abc import Iterator
from unittest import mock

from dykemast._internal.models.gossip import ServerLoad
from dykemast._internal.operations import peer_loads, rendezvous
from dykemast._internal.platform.servers import SERVER_KIND
from dykemast._internal.serving.knowledge.periodic_reads import (
    FIRST_AGE_IN_LARGE_FLEET,
    PeriodicRead,
    is_read_due,
)
from dykemast._internal.serving.knowledge.server_entries import make_updater
from dykemast._internal.serving.process.assembly import assemble
from dykemast._internal.serving.state.board import Peer, ServingBoard
from dykemast._internal.serving.tokens import budget_upkeep
from dykemast._internal.utils.clock import read_clock
from tests.lib.serving_boards import make_board

SIZES = (30, 300, 1000)
BUDGETS = 40


class CountedPeers(dict[str, Peer]):
    """Peers of a board, with a count of those looked at."""

    def __init__(self, peers: dict[str, Peer]) -> None:
        super().__init__(peers)
        self.looks = 0

    def values(self) -> Iterator[Peer]:  # noqa: WPS110 -- as a dictionary has
        for peer in super().values():
            self.looks += 1
            yield peer


def list_names(size: int) -> list[str]:
    return ['node-{0:04}'.format(number) for number in range(size)]


def make_fleet(size: int) -> ServingBoard:
    """Make the board of the last router of a fleet, which hears all."""
    *others, last = list_names(size + 1)
    board = make_board(last)
    now = read_clock()
    board.peers = CountedPeers(
        {name: Peer(make_board(name).make_card(), now) for name in others}
    )
    return board


def test_budgets_that_nobody_draws_on_here_cost_no_look_at_others() -> None:
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
        assert not upkeep.board.peers.looks, size


def test_turns_to_read_cost_a_few_looks() -> None:
    for size in SIZES:
        board = make_fleet(size)
        periodic_read = PeriodicRead(make_updater(board), 1.4)
        now = read_clock()
        board.last_read_at[SERVER_KIND] = now - FIRST_AGE_IN_LARGE_FLEET * 1.3
        assert not is_read_due(board, periodic_read)
        assert not board.peers.looks, 'nobody has to read yet'
        board.last_read_at[SERVER_KIND] = now - 1.3
        assert not is_read_due(board, periodic_read)
        assert board.peers.looks <= 3, (size, board.peers.looks)
        board.last_read_at[SERVER_KIND] = now - 1.5
        assert is_read_due(board, periodic_read), 'the last one reads as well'


def take_all(names: list[str]) -> peer_loads.PeerLoads:
    """Take what each of some routers tells, one after the other."""
    loads = peer_loads.PeerLoads()
    for number, name in enumerate(names):
        told = (ServerLoad('engine-0', 1, number),)
        loads.merge(name, told, number / len(names))
    return loads


def count_written(loads: peer_loads.PeerLoads) -> int:
    written = mock.Mock(wraps=peer_loads.RelayedLoads)
    with mock.patch.object(peer_loads, 'RelayedLoads', written):
        loads.export_recent(1)
    return written.call_count


def test_only_loads_that_are_passed_on_are_written_down() -> None:
    for size in SIZES:
        names = list_names(size)
        loads = take_all(names)
        assert count_written(loads) == peer_loads.MAX_RELAYED_ROUTERS
        newest = reversed(names[-peer_loads.MAX_RELAYED_ROUTERS :])
        assert [one.instance for one in loads.export_recent(1)] == list(newest)
