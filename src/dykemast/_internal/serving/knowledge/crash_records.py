"""Records of requests that end servers, in the store."""

import asyncio
from typing import Final

from dykemast._internal.exceptions import PlatformError
from dykemast._internal.operations import crash_records
from dykemast._internal.platform.objects import ObjectStore
from dykemast._internal.platform.store_types import StoreObject
from dykemast._internal.serving.knowledge.crash_objects import RECORD_KIND
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

#: Seconds in which changes gather before they are read.
WATCH_BATCH_S: Final = 0.1
#: Seconds between two looks whether this router has to read.
CHECK_INTERVAL_S: Final = 0.2
_SOURCE: Final = 'store'


def make_updater(board: ServingBoard) -> Updater:
    """Make what follows these records.

    :param board: the blackboard.
    :returns: the follower.
    """

    def apply_object(stored: StoreObject) -> None:
        record = crash_records.decode_record(stored.name, stored.spec)
        crash_records.apply_record(board.crashes, record, read_clock())
        review_crashes(board, _SOURCE)

    def remove_object(name: str) -> None:
        # An operator lifts a quarantine so, and routers clear up.
        board.crashes.kept.pop(name, None)
        clear_request(board, name, _SOURCE)

    def ignore_object(_: str) -> None:
        """Change nothing: what cannot be read says nothing of a request."""

    def remove_missing(_: set[str]) -> None:
        """Drop nothing: what was written meanwhile is not in a listing."""

    def record_revision(revision: int) -> None:
        board.revisions[RECORD_KIND] = revision

    return Updater(
        RECORD_KIND,
        apply_object,
        remove_missing,
        remove_object,
        ignore_object,
        record_revision,
        WATCH_BATCH_S,
        told={},
    )


async def read_records(
    board: ServingBoard,
    store: ObjectStore,
    updater: Updater,
) -> None:
    """Read what the store keeps whenever this router was away, for ever.

    When all start for the first time there is nothing.

    :param board: the blackboard.
    :param store: the object store.
    :param updater: takes the records.
    """
    if board.settings.first_start:
        board.crashes.asked_at = read_clock()
    while True:
        if not is_crash_table_current(board):
            await _read(board, store, updater)
        await asyncio.sleep(CHECK_INTERVAL_S)


async def _read(
    board: ServingBoard,
    store: ObjectStore,
    updater: Updater,
) -> None:
    asked_at = read_clock()
    try:
        listing = await store.list_kind(RECORD_KIND)
    except PlatformError as error:
        _log('crash_records_not_read', reason=str(error))
        return
    apply_listing(updater, listing)
    board.crashes.asked_at = asked_at
