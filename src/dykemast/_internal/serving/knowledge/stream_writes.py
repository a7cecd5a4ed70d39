"""Writing of the versions at which streams began to the store.

A few routers write the streams of all, each to one object of its own, several
at once, and only while the version of a stream is in question: while a service
has, or lately had, servers of several versions.
"""

import asyncio
from typing import Final

from dykemast._internal.exceptions import PlatformError, VersionConflictError
from dykemast._internal.operations.replicated_origins import (
    must_write,
)
from dykemast._internal.platform.objects import ObjectStore
from dykemast._internal.platform.store_types import StoreObject
from dykemast._internal.serving.knowledge import stream_records, watches
from dykemast._internal.serving.knowledge.origin_search import (
    has_several_origins,
)
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('streams')

#: Seconds between two writes: a stream lasts several times as long, so that few
#: are lost with all routers.
WRITE_INTERVAL_S: Final = 0.2
#: Bytes that a router writes a second: a small part of its link.
MAX_BYTES_PER_S: Final = 100_000
#: Bytes of a stream in an object.
STREAM_BYTES: Final = 24
#: Seconds between two checks for objects of instances that are gone, longer
#: than a caller may take up a stream that one of them served.
REMOVAL_INTERVAL_S: Final = 90.0

#: Name and position of an object.
StoreKey = tuple[str, int]


async def write_streams(board: ServingBoard, store: ObjectStore) -> None:
    """Write this router's object when streams have begun; runs forever.

    :param board: shared state of the router.
    :param store: the object store.
    """
    writer = StreamWriter(board, store)
    while True:
        await asyncio.sleep(choose_interval(writer.streams))
        if not (writer.is_behind() and has_several_origins(board)):
            continue
        if must_write(board.origins):
            await writer.write()


def choose_interval(streams: int) -> float:
    """Choose the interval between two writes.

    :param streams: number of streams of the last write.
    :returns: seconds.
    """
    return max(WRITE_INTERVAL_S, streams * STREAM_BYTES / MAX_BYTES_PER_S)


class StreamWriter:
    """Writes this router's object.

    :param board: shared state of the router.
    :param store: the object store.
    """

    def __init__(self, board: ServingBoard, store: ObjectStore) -> None:
        """Take the object for missing; a conflict shows that it is not."""
        self._board = board
        self._store = store
        self._stored = StoreObject(board.settings.name, 0, None)
        self._has_read = False
        #: Number of streams of the last write.
        self.streams = 0

    def is_behind(self) -> bool:
        """Tell whether the store may lack streams that this router knows.

        :returns: whether streams have begun since the last write, or the store
            returned from an older copy.
        """
        origins = self._board.origins
        is_lost = bool(origins.written_changes) and self._is_of_earlier_era()
        return is_lost or origins.changes != origins.written_changes

    async def write(self) -> None:
        """Write the object once; a failure is logged."""
        if self._is_of_earlier_era():
            # Its revision may belong to another state of the object now.
            name, era = self._stored.name, self._board.store_era
            self._stored = StoreObject(name, 0, None, era)
            self._board.origins.written_changes = 0
        changes = self._board.origins.changes
        records = self._board.origins.export(read_clock())
        self.streams = len(records)
        written = self._stored._replace(
            spec=stream_records.encode_streams(records)
        )
        try:
            self._stored = await self._store.write(
                stream_records.STREAM_KIND, written
            )
        except VersionConflictError as conflict:
            self._stored = conflict.current
            self._keep_former(conflict.current)
        except PlatformError as error:
            _log('streams_not_written', reason=str(error), streams=len(records))
            self._stored = written._replace(revision=0)
        else:
            self._has_read = True
            self._board.origins.written_changes = changes

    def _keep_former(self, stored: StoreObject) -> None:
        """Keep the streams of the previous process on this instance, once.

        A later conflict is with a write of this process, which may have
        forgotten some of them since.
        """
        if not self._has_read:
            records = stream_records.decode_streams(stored)
            stream_records.merge_records(self._board, records, is_exported=True)
        self._has_read = True

    def _is_of_earlier_era(self) -> bool:
        return self._stored.era < self._board.store_era


async def remove_unused(board: ServingBoard, store: ObjectStore) -> None:
    """Remove the objects of instances that are gone; runs forever.

    :param board: shared state of the router.
    :param store: the object store.
    """
    before: set[StoreKey] = set()
    while True:
        await asyncio.sleep(REMOVAL_INTERVAL_S)
        if not (
            watches.is_watcher(board, stream_records.STREAM_KIND)
            and has_several_origins(board)
        ):
            continue
        try:
            before = await _remove_unchanged(board, store, before)
        except PlatformError as error:
            _log('streams_not_removed', reason=str(error))


async def _remove_unchanged(
    board: ServingBoard, store: ObjectStore, before: set[StoreKey]
) -> set[StoreKey]:
    """Remove what did not change since the last check; list the rest."""
    used = {board.settings.name, *board.peers}
    listing = await store.list_kind(stream_records.STREAM_KIND)
    unused = {
        (found.name, found.position)
        for found in listing.found
        if found.name not in used
    }
    for name, _ in unused & before:
        await store.delete(stream_records.STREAM_KIND, name)
    return unused
