"""Age of the local copy of store objects, and what it may decide."""

from typing import Final

from dykemast._internal.operations.freshness import Freshness, is_read_late
from dykemast._internal.platform.configuration import CONFIGURATION_KIND
from dykemast._internal.platform.servers import EVACUATION_KIND, SERVER_KIND
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import read_clock

#: Seconds from the decision until the request reaches its server over a new
#: connection.
SEND_TIME_S: Final = 0.3


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


def get_configuration_freshness(board: ServingBoard) -> Freshness:
    """Get the freshness of the configuration.

    :param board: the blackboard.
    :returns: its freshness.
    """
    return Freshness(
        compute_age(board, CONFIGURATION_KIND),
        board.settings.bounds.change_time,
        board.newest_peer_version > board.get_version(),
        _is_store_unavailable(board, CONFIGURATION_KIND),
    )


def get_servers_freshness(board: ServingBoard) -> Freshness:
    """Get the freshness of the list of backend servers.

    :param board: the blackboard.
    :returns: its freshness.
    """
    return Freshness(
        compute_age(board, SERVER_KIND),
        board.settings.bounds.leave_time,
        outdated=False,
        store_away=_is_store_unavailable(board, SERVER_KIND),
    )


def get_evacuations_freshness(board: ServingBoard) -> Freshness:
    """Get the freshness of the list of evacuated halls.

    :param board: the blackboard.
    :returns: its freshness; always fresh where halls are not evacuated.
    """
    promised = board.settings.bounds.evacuate_time
    if promised is None:
        return Freshness(0, 0, outdated=False, store_away=False)
    known = board.evacuations.position > 0
    return Freshness(
        compute_age(board, EVACUATION_KIND),
        promised - SEND_TIME_S,
        outdated=not known,
        # A router that never read the list has nothing to keep in force.
        store_away=known and _is_store_unavailable(board, EVACUATION_KIND),
    )


def _is_store_unavailable(board: ServingBoard, kind: str) -> bool:
    if board.store_unavailable_since:
        return True
    now = read_clock()
    waited = now - board.read_started_at.get(kind, now)
    return is_read_late(waited, board.watch.measure_lateness(now))
