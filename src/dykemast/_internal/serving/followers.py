"""Follow the objects of one kind in the store."""

import asyncio
import random
import time
from typing import Final

from dykemast._internal.exceptions import HistoryLostError, PlatformError
from dykemast._internal.platform.objects import ObjectStore
from dykemast._internal.serving.board import ServingBoard
from dykemast._internal.serving.follower import (
    Follower,
    take_changes,
    take_listing,
)
from dykemast._internal.utils.events import make_logger

_log = make_logger('store')

#: Seconds before the first try after a failure, and at most.
FIRST_PAUSE: Final = 0.1
MAX_PAUSE: Final = 0.5


async def follow_kind(
    board: ServingBoard,
    store: ObjectStore,
    follower: Follower,
) -> None:
    """List a kind and watch it, for ever.

    What is known stays in force while the store does not answer.

    :param board: the blackboard.
    :param store: the object store.
    :param follower: what to do with the objects.
    """
    pause = FIRST_PAUSE
    revision = None
    while True:
        try:
            revision = await _advance(store, follower, revision)
        except HistoryLostError as error:
            _log('history_lost', kind=follower.kind, reason=str(error))
            revision = None
        except PlatformError as error:
            _note_lost(board, follower, error)
            await asyncio.sleep(pause * random.uniform(1, 2))
            pause = min(MAX_PAUSE, 2 * pause)
        else:
            _note_regained(board, follower)
            pause = FIRST_PAUSE


async def _advance(
    store: ObjectStore,
    follower: Follower,
    revision: int | None,
) -> int:
    if revision is None:
        listing = await store.list_kind(follower.kind)
        take_listing(follower, listing)
        return listing.revision
    changes = await store.watch(follower.kind, revision)
    take_changes(follower, changes)
    await asyncio.sleep(follower.pause)
    return changes.revision


def _note_lost(
    board: ServingBoard,
    follower: Follower,
    error: PlatformError,
) -> None:
    if not board.store_away_since:
        board.store_away_since = time.monotonic()
        _log('dependency_lost', kind=follower.kind, reason=str(error))


def _note_regained(board: ServingBoard, follower: Follower) -> None:
    if board.store_away_since:
        away = time.monotonic() - board.store_away_since
        _log('dependency_regained', kind=follower.kind, away_s=round(away, 3))
        board.store_away_since = 0
