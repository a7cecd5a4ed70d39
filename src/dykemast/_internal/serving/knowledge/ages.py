"""Age of the local copy of each kind of store objects."""

from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import read_clock


def compute_ages(board: ServingBoard) -> dict[str, float]:
    """Compute the age of the local copy of each kind.

    :param board: the blackboard.
    :returns: seconds since the last full listing, by kind.
    """
    now = read_clock()
    return {kind: now - at for kind, at in board.last_read_at.items()}


def compute_age(board: ServingBoard, kind: str) -> float:
    """Compute the age of the local copy of a kind.

    :param board: the blackboard.
    :param kind: kind of the objects.
    :returns: seconds since its last full listing, by this router or by a
        peer that confirmed the same copy.
    """
    return read_clock() - board.last_read_at.get(kind, 0)


def record_peer_age(
    board: ServingBoard,
    kind: str,
    age: float | None,
    asked_at: float,
) -> None:
    """Record how old the same copy of a kind is at a peer.

    The age counts from the time of the request, which precedes the answer:
    an answer may wait in buffers while the event loop is busy, and a stale
    copy would pass for a current one.

    :param board: the blackboard; it already holds the peer's copy.
    :param kind: kind of the objects.
    :param age: seconds since the peer listed them; None for never.
    :param asked_at: seconds at which the request was sent.
    """
    if age is not None:
        known = board.last_read_at.get(kind, 0)
        board.last_read_at[kind] = max(known, asked_at - age)
