"""Which peers a router exchanges news with in one round."""

import random
from typing import Final

from dykemast._internal.serving.state.board import Peer, ServingBoard, is_silent
from dykemast._internal.serving.state.fleet_size import is_large_fleet
from dykemast._internal.utils.clock import read_clock

#: Seconds between two rounds of news, and how far a round may be off.
ROUND_INTERVAL_S: Final = 0.2
ROUND_JITTER_S: Final = 0.04
#: Peers told in one round at most, so that the work of a router stays the
#: same however many there are. In a large fleet, where peers pass on what
#: they heard, three are enough; each takes processor time here and there.
PEERS_A_ROUND: Final = 8
PEERS_IN_LARGE_FLEET: Final = 3


def draw_pause() -> float:
    """Draw how long to wait until the next round.

    :returns: seconds.
    """
    return ROUND_INTERVAL_S + random.uniform(-ROUND_JITTER_S, ROUND_JITTER_S)


def choose_partners(board: ServingBoard) -> list[Peer]:
    """Choose the peers of a round: who was told longest ago, and a silent one.

    Each exchange goes both ways, so whoever is first saves the other.

    :param board: the blackboard.
    :returns: the peers.
    """
    count = PEERS_IN_LARGE_FLEET if is_large_fleet(board) else PEERS_A_ROUND
    limit = read_clock() - ROUND_INTERVAL_S
    due = [
        peer for peer in board.peers.values() if peer.last_exchange_at < limit
    ]
    due.sort(key=_read_meeting)
    heard = [peer for peer in due if not is_silent(board, peer)]
    tried = _draw_silent(board, due, count - len(heard))
    return tried + heard[: count - len(tried)]


def _draw_silent(
    board: ServingBoard,
    due: list[Peer],
    room: int,
) -> list[Peer]:
    silent = [peer for peer in due if is_silent(board, peer)]
    # One of them at least, as it may be back.
    count = max(1, room)
    return random.sample(silent, min(count, len(silent)))


def _read_meeting(peer: Peer) -> float:
    return peer.last_exchange_at
