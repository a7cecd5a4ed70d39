"""How old the knowledge of each kind of the store may be."""

from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import read_clock


def compute_ages(board: ServingBoard) -> dict[str, float]:
    """Tell peers how old the knowledge of each kind is.

    :param board: the blackboard.
    :returns: seconds by kind.
    """
    now = read_clock()
    return {kind: now - at for kind, at in board.last_read_at.items()}


def compute_age(board: ServingBoard, kind: str) -> float:
    """Measure how old the knowledge of a kind may be.

    :param board: the blackboard.
    :param kind: the kind.
    :returns: seconds since it was last read whole, by whoever is heard.
    """
    return read_clock() - board.last_read_at.get(kind, 0)


def record_peer_age(
    board: ServingBoard,
    kind: str,
    age: float | None,
    asked_at: float,
) -> None:
    """Take over that a peer read a kind, and what it found.

    The age counts from when the peer was asked, before it told: news may wait
    in buffers for as long as a busy loop takes, and old knowledge would pass
    for new.

    :param board: the blackboard; it knows what the peer found already.
    :param kind: the kind.
    :param age: seconds since the peer read it; None for never.
    :param asked_at: seconds at which the peer was asked.
    """
    if age is not None:
        known = board.last_read_at.get(kind, 0)
        board.last_read_at[kind] = max(known, asked_at - age)
