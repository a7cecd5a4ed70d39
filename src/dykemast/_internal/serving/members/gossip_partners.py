"""Choice of the peers of a gossip round."""

import random
from typing import Final

from dykemast._internal.serving.state.board import (
    Peer,
    ServingBoard,
    is_silent,
    is_large_fleet,
)
from dykemast._internal.utils.clock import read_clock

#: Seconds between two gossip rounds, and the deviation from it at most.
ROUND_INTERVAL_S: Final = 0.2
ROUND_JITTER_S: Final = 0.04
#: Peers of one round at most, so that the work of a router does not grow with
#: the fleet. In a large fleet peers relay what they heard, so three are enough;
#: each exchange takes processor time on both sides.
MAX_PEERS_PER_ROUND: Final = 8
MAX_PEERS_IN_LARGE_FLEET: Final = 3


def draw_pause() -> float:
    """Draw the pause until the next round.

    :returns: seconds.
    """
    return ROUND_INTERVAL_S + random.uniform(-ROUND_JITTER_S, ROUND_JITTER_S)


def choose_partners(board: ServingBoard) -> list[Peer]:
    """Choose the peers of the least recent exchanges, and a silent one.

    An exchange goes both ways, so the peer need not start one as well.

    :param board: the blackboard.
    :returns: the peers.
    """
    count = (
        MAX_PEERS_IN_LARGE_FLEET
        if is_large_fleet(board)
        else MAX_PEERS_PER_ROUND
    )
    limit = read_clock() - ROUND_INTERVAL_S
    due = [
        peer for peer in board.peers.values() if peer.last_exchange_at < limit
    ]
    due.sort(key=_get_last_exchange)
    live = [peer for peer in due if not is_silent(board, peer)]
    silent_partners = _draw_silent(board, due, count - len(live))
    return silent_partners + live[: count - len(silent_partners)]


def _draw_silent(
    board: ServingBoard,
    due: list[Peer],
    room: int,
) -> list[Peer]:
    silent = [peer for peer in due if is_silent(board, peer)]
    # At least one of them, since it may have returned.
    count = max(1, room)
    return random.sample(silent, min(count, len(silent)))


def _get_last_exchange(peer: Peer) -> float:
    return peer.last_exchange_at
