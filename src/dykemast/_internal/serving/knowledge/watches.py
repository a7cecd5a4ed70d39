"""Follow the objects of one kind in the store.

Each answer of a watch is a priced call, so that a change would cost as many
calls as there are routers. A few of them watch, and all others learn by news
(``serving.gossip``); ``serving.freshness`` bounds how late that may be.
"""

import asyncio
import random
from typing import Final

from dykemast._internal.exceptions import HistoryLostError, PlatformError
from dykemast._internal.platform.objects import ObjectStore
from dykemast._internal.operations.rendezvous import rank_owners
from dykemast._internal.serving.state.board import ServingBoard, list_live_peers
from dykemast._internal.serving.knowledge.updates import (
    Updater,
    apply_changes,
    apply_listing,
)
from dykemast._internal.serving.knowledge.store_state import (
    record_store_failure,
    record_store_answer,
)
from dykemast._internal.utils.events import make_logger

_log = make_logger('store')

#: Routers that watch a kind. Any one would do; two of them, as one may be cut
#: off from the store and still be heard by peers. If both are, a change is
#: known by the reads that bound the age of all knowledge.
MAX_WATCHERS: Final = 2
#: Seconds until peers are known when all routers start at the same time: the
#: list of them is read anew after 1.5 s.
MEETING_TIME: Final = 2.0
#: Seconds between two looks whether this router should watch: less than the
#: time after which a watcher that is gone counts as silent.
TURN_PAUSE: Final = 1.0
#: Seconds before the first try after a failure, and at most.
FIRST_PAUSE: Final = 0.1
MAX_PAUSE: Final = 0.5


async def watch_kind(
    board: ServingBoard,
    store: ObjectStore,
    updater: Updater,
) -> None:
    """Watch a kind whenever it is this router's turn, for ever.

    The first listing is read by ``serving.freshness``. What is known stays
    in force while the store does not answer.

    :param board: the blackboard.
    :param store: the object store.
    :param updater: what to do with the objects.
    """
    pause = FIRST_PAUSE
    await _wait_for_peers(board)
    while True:
        await _wait_for_turn(board, updater.kind)
        try:
            await _advance(board, store, updater)
        except HistoryLostError as error:
            _log('history_lost', kind=updater.kind, reason=str(error))
            board.revisions.pop(updater.kind, None)
        except PlatformError as error:
            record_store_failure(board, updater.kind, error)
            await asyncio.sleep(pause * random.uniform(1, 2))
            pause = min(MAX_PAUSE, 2 * pause)
        else:
            record_store_answer(board, updater.kind)
            pause = FIRST_PAUSE


async def _wait_for_peers(board: ServingBoard) -> None:
    # While no peer is known, every router would watch.
    if board.settings.first_start:
        await asyncio.sleep(MEETING_TIME)
    await board.peers_read.wait()


async def _wait_for_turn(board: ServingBoard, kind: str) -> None:
    while not is_watcher(board, kind):
        await asyncio.sleep(TURN_PAUSE)


def is_watcher(board: ServingBoard, kind: str) -> bool:
    """Tell whether this router is one of those that watch a kind.

    :param board: the blackboard.
    :param kind: the kind.
    :returns: whether it is.
    """
    heard = [peer.card.instance for peer in list_live_peers(board)]
    names = [board.settings.name, *heard]
    watchers = rank_owners(kind, names)[:MAX_WATCHERS]
    return board.settings.name in watchers


async def _advance(
    board: ServingBoard,
    store: ObjectStore,
    updater: Updater,
) -> None:
    revision = board.revisions.get(updater.kind)
    if revision is None:
        apply_listing(updater, await store.list_kind(updater.kind))
        return
    changes = await store.watch(updater.kind, revision)
    if changes.revision >= board.revisions.get(updater.kind, 0):
        # Else a read told more while this watch was waiting.
        apply_changes(updater, changes)
    await asyncio.sleep(updater.pause)
