"""Have the store keep which requests end servers."""

import asyncio
from typing import Final

from dykemast._internal.exceptions import PlatformError
from dykemast._internal.models.crashes import CrashRecord
from dykemast._internal.operations.crash_persistence import (
    list_stale_records,
    list_unsaved_records,
)
from dykemast._internal.operations.rendezvous import rank_owners
from dykemast._internal.platform.objects import ObjectStore
from dykemast._internal.serving.knowledge.crash_objects import (
    RECORD_KIND,
    write_record,
)
from dykemast._internal.serving.state.board import ServingBoard, list_live_peers
from dykemast._internal.serving.state.quarantines import review_crashes
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('crashes')

#: Seconds between two looks at what has to be written: two ends of servers are
#: some tenths apart, and the write itself takes some milliseconds.
WRITE_INTERVAL_S: Final = 0.2
#: Seconds to wait after a write that failed.
RETRY_DELAY_S: Final = 0.3
#: Seconds after which the next router writes what the first has not.
WRITER_TAKEOVER_S: Final = 1.0


async def write_records(board: ServingBoard, store: ObjectStore) -> None:
    """Have the store keep what outlasts a loss of all routers, for ever.

    :param board: the blackboard.
    :param store: the object store.
    """
    since: dict[str, float] = {}
    while True:
        await asyncio.sleep(WRITE_INTERVAL_S)
        # An end decides, and is forgotten, some time after it was noted.
        review_crashes(board, 'time')
        now = read_clock()
        unkept = list_unsaved_records(board.crashes)
        since = {one.request: since.get(one.request, now) for one in unkept}
        for record in unkept:
            if _has_turn(board, record, now - since[record.request]):
                await _try_write(board, store, record)
        for request in list_stale_records(board.crashes):
            await _try_delete(board, store, request)


def _has_turn(board: ServingBoard, record: CrashRecord, age: float) -> bool:
    heard = [peer.card.instance for peer in list_live_peers(board)]
    ranked = rank_owners(record.request, [board.settings.name, *heard])
    return ranked.index(board.settings.name) <= age / WRITER_TAKEOVER_S


async def _try_write(
    board: ServingBoard,
    store: ObjectStore,
    record: CrashRecord,
) -> None:
    try:
        await write_record(store, record)
    except PlatformError as error:
        _log(
            'crash_record_not_written',
            same_as=record.request,
            reason=str(error),
        )
        await asyncio.sleep(RETRY_DELAY_S)
        return
    board.crashes.kept[record.request] = record
    _log(
        'crash_record_written',
        same_as=record.request,
        servers=record.servers,
        terms=record.terms,
    )


async def _try_delete(
    board: ServingBoard,
    store: ObjectStore,
    request: str,
) -> None:
    try:
        await store.delete(RECORD_KIND, request)
    except PlatformError as error:
        _log('crash_record_not_deleted', same_as=request, reason=str(error))
        return
    board.crashes.kept.pop(request, None)
