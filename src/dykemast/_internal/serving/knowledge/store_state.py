"""Track whether the store answers this router."""

from dykemast._internal.exceptions import PlatformError
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('store')


def record_store_failure(
    board: ServingBoard, kind: str, error: PlatformError
) -> None:
    """Record that a call to the store failed.

    :param board: the blackboard.
    :param kind: kind of the objects that were requested.
    :param error: why it failed.
    """
    if not board.store_unavailable_since:
        board.store_unavailable_since = read_clock()
        _log('dependency_lost', kind=kind, reason=str(error))


def record_store_answer(board: ServingBoard, kind: str) -> None:
    """Record that a call to the store was answered.

    :param board: the blackboard.
    :param kind: kind of the objects that were requested.
    """
    if board.store_unavailable_since:
        outage_s = read_clock() - board.store_unavailable_since
        _log('dependency_regained', kind=kind, away_s=round(outage_s, 3))
        board.store_unavailable_since = 0
