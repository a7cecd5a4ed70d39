"""Records of the versions at which streams began, in the store and from peers.

The version has to be known when a caller takes a stream up, also after the loss
of all routers.
"""

from typing import Any, Final

import msgspec

from dykemast._internal.exceptions import InvalidDataError
from dykemast._internal.models.streams import Origin, StreamRecord
from dykemast._internal.platform.objects import ObjectStore
from dykemast._internal.platform.store_types import StoreObject
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger
from dykemast._internal.utils.packing import unpack

_log = make_logger('streams')

#: Kind of these objects. Each object is named after its router.
STREAM_KIND: Final = 'dykemast-streams'
#: Keys of streams by version.
_Keys = dict[str, list[str]]
#: The same by service.
_Streams = dict[str, _Keys]


async def read_streams(board: ServingBoard, store: ObjectStore) -> None:
    """Read the objects of all routers.

    :param board: shared state of the router.
    :param store: the object store.
    :raises PlatformError: when the store does not answer.
    """
    listing = await store.list_kind(STREAM_KIND)
    for found in listing.found:
        merge_records(board, decode_streams(found))


def merge_records(
    board: ServingBoard,
    records: list[StreamRecord],
    *,
    is_exported: bool = False,
) -> None:
    """Record the origins that another process knows.

    :param board: shared state of the router.
    :param records: the origins.
    :param is_exported: whether this router writes them to the store.
    """
    expires_at = read_clock() + board.stream_time_s
    board.origins.merge(records, expires_at, is_exported=is_exported)


def apply_records(
    board: ServingBoard, body: bytes, *, is_exported: bool = False
) -> int:
    """Apply the origins that another router sent.

    :param board: shared state of the router.
    :param body: the packed records.
    :param is_exported: whether this router writes them to the store.
    :returns: their number; 0 if they are invalid, which is logged.
    """
    try:
        records = unpack(body, list[StreamRecord])
    except InvalidDataError as error:
        _log('streams_not_usable', name='peer', reason=str(error))
        return 0
    merge_records(board, records, is_exported=is_exported)
    return len(records)


def decode_streams(stored: StoreObject) -> list[StreamRecord]:
    """Decode the object of a router.

    :param stored: the object.
    :returns: its streams; none if it is invalid, which is logged.
    """
    try:
        streams = msgspec.convert(stored.spec, _Streams)
    except msgspec.ValidationError as error:
        _log('streams_not_usable', name=stored.name, reason=str(error))
        return []
    return [
        StreamRecord(key, Origin(service, version))
        for service, versions in streams.items()
        for version, key in _list_keys(versions)
    ]


def _list_keys(versions: _Keys) -> list[tuple[str, str]]:
    return [
        (version, key) for version, keys in versions.items() for key in keys
    ]


def encode_streams(records: list[StreamRecord]) -> Any:
    """Encode the object of a router.

    :param records: its streams.
    :returns: content of the object.
    """
    streams: _Streams = {}
    for key, origin in records:
        versions = streams.setdefault(origin.service, {})
        versions.setdefault(origin.version, []).append(key)
    return streams
