"""Watch the objects of one kind in the store.

Each answer of a watch is a billed call, so a change would cost one call per
router. Only a few routers watch, and the others learn of changes by gossip
(``members.gossip``); ``knowledge.periodic_reads`` bounds the delay.
"""

import asyncio
import contextlib
import random
from typing import Final

from dykemast._internal.exceptions import HistoryLostError, PlatformError
from dykemast._internal.platform.objects import ObjectStore
from dykemast._internal.platform.store_types import Changes, split_position
from dykemast._internal.operations.rendezvous import rank_owners
from dykemast._internal.serving.state.board import ServingBoard, list_live_peers
from dykemast._internal.serving.knowledge.store_answers import (
    record_store_answer,
    record_store_failure,
)
from dykemast._internal.serving.knowledge.updates import (
    Updater,
    apply_changes,
    apply_listing,
)
from dykemast._internal.utils.events import make_logger

_log = make_logger('store')

#: One watcher would do; a second covers the case that one cannot reach the
#: store while its peers still count it as live. If both cannot, periodic
#: listings find the change.
MAX_WATCHERS: Final = 2
#: Seconds until peers are known when all routers start at the same time: the
#: list of routers is read a second time before that.
PEER_DISCOVERY_S: Final = 2.0
#: Seconds between two checks whether this router is a watcher, and whether the
#: store returned during a watch: less than the time after which a stopped
#: watcher counts as silent.
WATCHER_CHECK_INTERVAL_S: Final = 1.0
#: Seconds of backoff after the first failure, and at most.
MIN_BACKOFF_S: Final = 0.1
MAX_BACKOFF_S: Final = 0.5


async def watch_kind(
    board: ServingBoard,
    store: ObjectStore,
    updater: Updater,
) -> None:
    """Watch a kind while this router is one of its watchers; never returns.

    ``knowledge.periodic_reads`` makes the first listing. The local copy stays
    in force while the store does not answer.

    :param board: the blackboard.
    :param store: the object store.
    :param updater: callbacks for the objects.
    """
    pause = MIN_BACKOFF_S
    if board.settings.first_start:
        # While no peer is known, every router is a watcher.
        await asyncio.sleep(PEER_DISCOVERY_S)
    await board.peers_read.wait()
    while True:
        await _wait_until_watcher(board, updater.kind)
        try:
            await _watch_once(board, store, updater)
        except PlatformError as error:
            record_store_failure(board, updater.kind, error)
            await asyncio.sleep(pause * random.uniform(1, 2))
            pause = min(MAX_BACKOFF_S, 2 * pause)
        else:
            record_store_answer(board, updater.kind)
            pause = MIN_BACKOFF_S


async def _wait_until_watcher(board: ServingBoard, kind: str) -> None:
    while not is_watcher(board, kind):
        await asyncio.sleep(WATCHER_CHECK_INTERVAL_S)


def rank_self(board: ServingBoard, task: str) -> int:
    """Rank this router among the live ones by who should do a task.

    :param board: the blackboard.
    :param task: name of the task.
    :returns: its rank; 0 for the owner of the task.
    """
    live = [peer.card.instance for peer in list_live_peers(board)]
    name = board.settings.name
    return rank_owners(task, [name, *live]).index(name)


def is_watcher(board: ServingBoard, kind: str) -> bool:
    """Tell whether this router is one of the watchers of a kind.

    :param board: the blackboard.
    :param kind: kind of the objects.
    :returns: whether it is.
    """
    return rank_self(board, kind) < MAX_WATCHERS


async def _watch_once(
    board: ServingBoard,
    store: ObjectStore,
    updater: Updater,
) -> None:
    position = board.positions.get(updater.kind)
    if position is None:
        await _list_anew(board, store, updater, position)
        return
    try:
        changes = await _watch_in_era(board, store, updater.kind, position)
    except HistoryLostError as error:
        _log('history_lost', kind=updater.kind, reason=str(error))
        await _list_anew(board, store, updater, position)
        return
    if changes.position >= board.positions.get(updater.kind, 0):
        # Otherwise a listing has applied newer changes in the meantime.
        apply_changes(updater, changes)
    await asyncio.sleep(updater.pause)


async def _watch_in_era(
    board: ServingBoard, store: ObjectStore, kind: str, position: int
) -> Changes:
    """Watch a kind until the store answers, or returned from an older copy."""
    era, _ = split_position(position)
    watch = asyncio.create_task(store.watch(kind, position))
    with contextlib.ExitStack() as at_end:
        at_end.callback(watch.cancel)
        while board.store_era <= era and not watch.done():
            await asyncio.wait((watch,), timeout=WATCHER_CHECK_INTERVAL_S)
        if watch.done():
            return watch.result()
    raise HistoryLostError(
        f'watch of {kind} is of era {era}, and the store of {board.store_era}.'
    )


async def _list_anew(
    board: ServingBoard,
    store: ObjectStore,
    updater: Updater,
    lost: int | None,
) -> None:
    """List a kind whose changes after a position the store does not tell."""
    listing = await store.list_kind(updater.kind)
    known = board.positions.get(updater.kind)
    if known is None or known == lost or listing.position >= known:
        # Otherwise a peer or another listing was newer in the meantime.
        apply_listing(updater, listing)
    await asyncio.sleep(updater.pause)
