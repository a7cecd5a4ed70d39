"""Whether what is known of the store may decide a request."""

from typing import Final

from dykemast._internal.operations.freshness import Freshness, is_read_late
from dykemast._internal.platform.configuration import CONFIGURATION_KIND
from dykemast._internal.platform.servers import EVACUATION_KIND, SERVER_KIND
from dykemast._internal.serving.knowledge.ages import compute_age
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import read_clock

#: Seconds that a request takes from the decision to its server, over a
#: connection that has to be opened.
SEND_TIME: Final = 0.3


def get_configuration_freshness(board: ServingBoard) -> Freshness:
    """Tell what is known of the configuration.

    :param board: the blackboard.
    :returns: how far it may decide.
    """
    return Freshness(
        compute_age(board, CONFIGURATION_KIND),
        board.settings.bounds.change_time,
        board.newest_peer_version > board.get_version(),
        _is_store_away(board, CONFIGURATION_KIND),
    )


def get_servers_freshness(board: ServingBoard) -> Freshness:
    """Tell what is known of the list of backend servers.

    :param board: the blackboard.
    :returns: how far it may decide.
    """
    return Freshness(
        compute_age(board, SERVER_KIND),
        board.settings.bounds.leave_time,
        outdated=False,
        store_away=_is_store_away(board, SERVER_KIND),
    )


def get_evacuations_freshness(board: ServingBoard) -> Freshness:
    """Tell what is known of halls that are being emptied.

    :param board: the blackboard.
    :returns: how far it may decide.
    """
    promised = board.settings.bounds.evacuate_time
    if promised is None:
        return Freshness(0, 0, outdated=False, store_away=False)
    known = board.evacuations.revision > 0
    return Freshness(
        compute_age(board, EVACUATION_KIND),
        promised - SEND_TIME,
        outdated=not known,
        # Who has never known anything does not know what stays in force.
        store_away=known and _is_store_away(board, EVACUATION_KIND),
    )


def _is_store_away(board: ServingBoard, kind: str) -> bool:
    if board.store_unavailable_since:
        return True
    now = read_clock()
    waited = now - board.read_started_at.get(kind, now)
    return is_read_late(waited, board.watch.measure_lateness(now))
