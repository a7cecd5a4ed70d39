"""Blackboards of routers without running processes."""

from dykemast._internal.models.deployment import (
    Bounds,
    Capacity,
    Endpoint,
    InstanceSettings,
    Listeners,
)
from dykemast._internal.models.fleet import PeerCard
from dykemast._internal.platform.configuration import CONFIGURATION_KIND
from dykemast._internal.platform.servers import SERVER_KIND
from dykemast._internal.serving.members.own_entry import make_card
from dykemast._internal.serving.sending.server_paths import ServerPaths
from dykemast._internal.serving.state.board import Peer, ServingBoard
from dykemast._internal.utils.clock import read_clock

HOST = '127.0.0.1'


def make_endpoint(port: int) -> Endpoint:
    """Make an address on which no process listens."""
    return Endpoint(HOST, port)


def make_board(name: str = 'node-0') -> ServingBoard:
    """Make the blackboard of one router."""
    listeners = Listeners(*map(make_endpoint, range(1, 6)))
    settings = InstanceSettings(
        name=name,
        hall='north',
        listeners=listeners,
        store=make_endpoint(6),
        bounds=Bounds(8, 0.2, 52, 10, 5),
        max_connections=100,
        capacity=Capacity(1, 1_000_000),
    )
    return ServingBoard(settings=settings, incarnation=f'{name}/1')


def make_boards(count: int) -> list[ServingBoard]:
    """Make blackboards of routers that are all live peers of each other."""
    boards = [make_board(f'node-{number}') for number in range(count)]
    now = read_clock()
    for board in boards:
        board.peers = {
            other.settings.name: Peer(make_card(other), now)
            for other in boards
            if other is not board
        }
    return boards


def make_peer(name: str) -> Peer:
    """Make a live peer, as another router knows it."""
    return Peer(make_card(make_board(name)), read_clock())


def make_cards(count: int) -> list[PeerCard]:
    """Make the cards of several routers, without that of ``node-0``."""
    return [make_card(board) for board in make_boards(count + 1)[1:]]


def make_paths() -> ServerPaths:
    """Make the paths to servers of a router without peers."""
    return ServerPaths(make_board())


def mark_all_read(board: ServingBoard) -> None:
    """Have a router know all that it needs to serve; the lists are empty."""
    now = read_clock()
    board.last_read_at.update({CONFIGURATION_KIND: now, SERVER_KIND: now})
    board.crashes.requested_at = now
