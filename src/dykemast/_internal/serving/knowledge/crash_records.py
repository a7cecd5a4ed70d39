"""Reading of crash records from the store."""

import asyncio
from typing import Final

from dykemast._internal.exceptions import PlatformError
from dykemast._internal.operations import crash_records
from dykemast._internal.platform.objects import ObjectStore
from dykemast._internal.platform.store_types import StoreObject
from dykemast._internal.serving.knowledge.crash_writes import RECORD_KIND
from dykemast._internal.serving.knowledge.updates import (
    Updater,
    apply_listing,
)
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.state.quarantines import (
    clear_request,
    review_crashes,
    is_crash_table_current,
)
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('crashes')

#: Time for which changes are batched before they are read.
WATCH_BATCH_S: Final = 0.1
#: Interval of the check whether this router has to read the records.
CHECK_INTERVAL_S: Final = 0.2
_SOURCE: Final = 'store'


def make_updater(board: ServingBoard) -> Updater:
    """Create the updater that applies watched records.

    :param board: shared state of the router.
    :returns: the updater.
    """

    def apply_object(stored: StoreObject) -> None:
        record = crash_records.decode_record(stored.name, stored.spec)
        crash_records.apply_record(board.crashes, record, read_clock())
        review_crashes(board, _SOURCE)

    def remove_object(name: str) -> None:
        # Operators lift a quarantine this way, and routers remove stale
        # records.
        board.crashes.stored_records.pop(name, None)
        clear_request(board, name, _SOURCE)

    def ignore_object(_: str) -> None:
        """Ignore an unreadable object: it says nothing about a request."""

    def remove_missing(_: set[str]) -> None:
        """Keep all records: a listing lacks those written meanwhile."""

    def record_position(position: int) -> None:
        board.positions[RECORD_KIND] = position

    return Updater(
        RECORD_KIND,
        apply_object,
        remove_missing,
        remove_object,
        ignore_object,
        record_position,
        WATCH_BATCH_S,
        logged={},
    )


async def read_records(
    board: ServingBoard,
    store: ObjectStore,
    updater: Updater,
) -> None:
    """Read all records whenever this router was suspended; runs forever.

    On the first start of the deployment there are none.

    :param board: shared state of the router.
    :param store: the object store.
    :param updater: receives the records.
    """
    if board.settings.first_start:
        board.crashes.requested_at = read_clock()
    while True:
        if not is_crash_table_current(board):
            await _list_records(board, store, updater)
        await asyncio.sleep(CHECK_INTERVAL_S)


async def _list_records(
    board: ServingBoard,
    store: ObjectStore,
    updater: Updater,
) -> None:
    requested_at = read_clock()
    try:
        listing = await store.list_kind(RECORD_KIND)
    except PlatformError as error:
        _log('crash_records_not_read', reason=str(error))
        return
    apply_listing(updater, listing)
    board.crashes.requested_at = requested_at
