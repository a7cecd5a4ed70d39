"""Store objects that hold the versions of each service.

Entries of servers that ended are gone from the list, so that a router that
starts could not tell which versions may have begun the streams that callers
take up. One router writes the versions of a service when they change, which
takes a few calls a day.
"""

import asyncio
from typing import Final, TypedDict

import msgspec

from dykemast._internal.exceptions import PlatformError, VersionConflictError
from dykemast._internal.platform.objects import ObjectStore
from dykemast._internal.platform.store_types import StoreObject
from dykemast._internal.serving.knowledge.server_versions import (
    list_versions,
    record_change,
)
from dykemast._internal.serving.knowledge.watches import rank_self
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('streams')

#: Kind of these objects. Each object is named after its service.
VERSION_KIND: Final = 'dykemast-versions'
#: Seconds between two checks whether the versions changed.
CHECK_INTERVAL_S: Final = 0.2
#: Seconds after which the next router writes what the previous one has not.
WRITER_TAKEOVER_S: Final = 1.0
_FIELD: Final = 'versions'


class _Spec(TypedDict):
    versions: list[str]


async def keep_versions(board: ServingBoard, store: ObjectStore) -> None:
    """Read the versions of all services, and write those that change.

    On the first start of the deployment there are none. Runs forever.

    :param board: shared state of the router.
    :param store: the object store.
    """
    board.versions.is_complete = board.settings.first_start
    stored: dict[str, StoreObject] = {}
    changed_at: dict[str, float] = {}
    while True:
        if not board.versions.is_complete:
            await _try_read(board, store)
        await asyncio.sleep(CHECK_INTERVAL_S)
        for server in board.servers.values():
            record_change(board, server, server)
        for service in _list_changed(board, stored, changed_at):
            age = read_clock() - changed_at[service]
            if rank_self(board, service) <= age / WRITER_TAKEOVER_S:
                await _try_write(board, store, stored, service)


def _list_changed(
    board: ServingBoard,
    stored: dict[str, StoreObject],
    changed_at: dict[str, float],
) -> list[str]:
    """List the services whose stored versions differ, and since when."""
    for service in board.versions.list_services():
        known = stored.get(service)
        spec = {_FIELD: list_versions(board, service)}
        is_kept = known and known.era == board.store_era
        if is_kept and known.spec == spec:
            changed_at.pop(service, None)
        else:
            changed_at.setdefault(service, read_clock())
    return list(changed_at)


async def read_versions(board: ServingBoard, store: ObjectStore) -> None:
    """Read the versions that services had before this process started.

    :param board: shared state of the router.
    :param store: the object store.
    :raises PlatformError: when the store does not answer.
    """
    listing = await store.list_kind(VERSION_KIND)
    for found in listing.found:
        _record_stored(board, found)
    board.versions.is_complete = True


async def _try_read(board: ServingBoard, store: ObjectStore) -> None:
    try:
        await read_versions(board, store)
    except PlatformError as error:
        _log('versions_not_read', reason=str(error))


def _record_stored(board: ServingBoard, found: StoreObject) -> list[str]:
    """Record the versions of an object; an invalid one holds none."""
    try:
        versions = msgspec.convert(found.spec, _Spec)[_FIELD]
    except msgspec.ValidationError as error:
        _log('versions_not_usable', service=found.name, reason=str(error))
        return []
    board.versions.record(found.name, versions, read_clock())
    return versions


async def _try_write(
    board: ServingBoard,
    store: ObjectStore,
    stored: dict[str, StoreObject],
    service: str,
) -> None:
    known = stored.get(service)
    if known is None or known.era < board.store_era:
        # The store may have lost it by returning from an older copy.
        known = StoreObject(service, 0, None)
    versions = list_versions(board, service)
    try:
        written = await store.write(
            VERSION_KIND, known._replace(spec={_FIELD: versions})
        )
    except VersionConflictError as conflict:
        # Another router wrote them: what it knows counts here as well.
        known = _record_stored(board, conflict.current)
        stored[service] = conflict.current._replace(spec={_FIELD: known})
        return
    except PlatformError as error:
        _log('versions_not_written', service=service, reason=str(error))
        stored.pop(service, None)
        return
    stored[service] = written._replace(spec={_FIELD: versions})
    _log('versions_written', service=service, versions=versions)
