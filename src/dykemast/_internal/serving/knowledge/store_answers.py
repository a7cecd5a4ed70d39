"""Record whether the store answers, and of which era.

The era rises when the store returns from an older copy of itself. Revisions of
two eras cannot be compared: what was written after the copy was made is gone,
and the revisions above it are given out again.
"""

from collections.abc import Callable
from typing import Final

from dykemast._internal.exceptions import EarlierEraError, PlatformError
from dykemast._internal.operations.allowance_terms import StoreEra
from dykemast._internal.serving.state.board import (
    ServingBoard,
    list_live_peers,
)
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('store')

#: Time after the first sight of a new era in which routers write what they know
#: of a budget: longer than they take to see the era and to write.
SETTLE_S: Final = 3.0
#: Further time for a process that knows nothing from before, so that others go
#: first.
FIRST_ERA_S: Final = 1.0


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


def note_era(board: ServingBoard, era: int, source: str) -> None:
    """Record the era of the store, if it is a newer one.

    :param board: the blackboard.
    :param era: the era.
    :param source: the store or a peer, for the log.
    """
    before = board.store_era
    if era > before:
        board.first_era = board.first_era or era
        board.store_era = era
        board.store_era_at = read_clock()
        _log('era_changed', era=era, before=before, source=source)


def make_era_check(board: ServingBoard) -> Callable[[int], None]:
    """Make the check of the era of each answer of the store.

    :param board: the blackboard.
    :returns: records the era; raises ``EarlierEraError`` for an earlier one
        than is known, since that answer was given before the store returned.
    """

    def check_era(era: int) -> None:
        note_era(board, era, 'store')
        if era < board.store_era:
            raise EarlierEraError(
                f'answer of era {era} of the store, which is at '
                f'{board.store_era}.'
            )

    return check_era


def read_era(board: ServingBoard) -> StoreEra:
    """Read the era of the store, for the rows of budgets.

    :param board: the blackboard.
    :returns: the era.
    """
    if not board.store_era:
        return StoreEra()
    is_first = board.store_era == board.first_era
    wait_s = SETTLE_S + FIRST_ERA_S * is_first
    latest = {peer.card.incarnation for peer in board.peers.values()}
    return StoreEra(
        number=board.store_era,
        may_settle=read_clock() >= board.store_era_at + wait_s,
        live=_list_restated(board) | {board.incarnation},
        latest=latest | {board.incarnation},
        is_first=is_first,
        began_at=board.store_era_at,
    )


def _list_restated(board: ServingBoard) -> set[str]:
    """List the incarnations of live peers that reached the store in its era."""
    return {
        peer.card.incarnation
        for peer in list_live_peers(board)
        if peer.store_era == board.store_era and not peer.budget_write_failed
    }
