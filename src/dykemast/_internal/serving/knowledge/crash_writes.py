"""Writing of crash records to the store."""

import asyncio
from typing import Final

from dykemast._internal.exceptions import (
    InvalidDataError,
    PlatformError,
    VersionConflictError,
)
from dykemast._internal.models.crashes import CrashRecord
from dykemast._internal.operations import crash_persistence, crash_records
from dykemast._internal.platform.objects import ObjectStore
from dykemast._internal.platform.store_types import StoreObject
from dykemast._internal.serving.knowledge.watches import rank_self
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.state.quarantines import review_crashes
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('crashes')

#: Kind of the records. Each object is named after its request.
RECORD_KIND: Final = 'dykemast-crashing-requests'
#: Interval of writes: crashes are some tenths of a second apart, and a write
#: takes a few milliseconds.
WRITE_INTERVAL_S: Final = 0.2
#: Delay after a failed write.
RETRY_DELAY_S: Final = 0.3
#: Time after which the next router writes what the previous one has not.
WRITER_TAKEOVER_S: Final = 1.0


async def write_records(board: ServingBoard, store: ObjectStore) -> None:
    """Write records so that they survive a loss of all routers; runs forever.

    :param board: shared state of the router.
    :param store: the object store.
    """
    pending_since: dict[str, float] = {}
    era = board.store_era
    while True:
        await asyncio.sleep(WRITE_INTERVAL_S)
        if era != board.store_era:
            # The store may have lost them by returning from an older copy.
            board.crashes.stored_records.clear()
            era = board.store_era
        # Crashes decide, and expire, some time after they were recorded.
        review_crashes(board, 'time')
        pending_since = await _write_due(board, store, pending_since)
        for request in crash_persistence.list_stale_records(board.crashes):
            await _try_delete(board, store, request)


async def _write_due(
    board: ServingBoard,
    store: ObjectStore,
    pending_since: dict[str, float],
) -> dict[str, float]:
    """Write the records that are this router's turn; list all that wait."""
    now = read_clock()
    unsaved = crash_persistence.list_unsaved_records(board.crashes)
    waiting = {
        one.request: pending_since.get(one.request, now) for one in unsaved
    }
    for record in unsaved:
        if _is_writer(board, record, now - waiting[record.request]):
            await _try_write(board, store, record)
    return waiting


def _is_writer(board: ServingBoard, record: CrashRecord, age: float) -> bool:
    return rank_self(board, record.request) <= age / WRITER_TAKEOVER_S


async def _try_write(
    board: ServingBoard,
    store: ObjectStore,
    record: CrashRecord,
) -> None:
    try:
        await _write_record(store, record)
    except PlatformError as error:
        _log(
            'crash_record_not_written',
            same_as=record.request,
            reason=str(error),
        )
        await asyncio.sleep(RETRY_DELAY_S)
        return
    board.crashes.stored_records[record.request] = record
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
    board.crashes.stored_records.pop(request, None)


async def _write_record(store: ObjectStore, record: CrashRecord) -> None:
    """Write a record to the store, unless the store holds more already.

    :param store: the object store.
    :param record: the record.
    :raises PlatformError: when the write failed.
    """
    created = StoreObject(
        record.request, 0, crash_records.encode_record(record)
    )
    try:
        await store.write(RECORD_KIND, created)
    except VersionConflictError as conflict:
        stored = conflict.current
        known = _decode_stored(stored)
        if known is None or not known.covers(record):
            replaced = created._replace(revision=stored.revision)
            await store.write(RECORD_KIND, replaced)


def _decode_stored(stored: StoreObject) -> CrashRecord | None:
    try:
        return crash_records.decode_record(stored.name, stored.spec)
    except InvalidDataError:
        # An unreadable object is overwritten.
        return None
