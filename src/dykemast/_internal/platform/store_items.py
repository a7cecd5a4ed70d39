"""Items of a page or a watch, told apart before any is read.

Anyone may write to the store. One item that cannot be read must cost no more
than itself: while a page was read as a whole, one text that was not UTF-8
left the fleet without any backend server.
"""

from collections.abc import Iterable
from typing import Any, TypedDict

import msgspec

from dykemast._internal.platform.json_members import DECODE_ERRORS
from dykemast._internal.platform.store_types import StoreObject
from dykemast._internal.utils.events import make_logger

_log = make_logger('store')


class _Metadata(TypedDict):
    name: str
    revision: int


class _Envelope(msgspec.Struct):
    """An object whose content is still unread; no dictionary holds that."""

    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b'null')


def decode_readable(raws: Iterable[bytes]) -> list[StoreObject]:
    """Read the items that can be read; the others are logged.

    :param raws: items as they came.
    :returns: the objects.
    """
    found = [decode_item(raw) for raw in raws]
    unreadable = found.count(None)
    if unreadable:
        _log('items_not_readable', count=unreadable, of=len(found))
    return [stored for stored in found if stored]


def decode_item(raw: bytes) -> StoreObject | None:
    """Read one object.

    :param raw: as it came.
    :returns: the object, with None in it where what it holds cannot be read;
        nothing where it does not even tell its name.
    """
    try:
        envelope = msgspec.json.decode(raw, type=_Envelope)
    except DECODE_ERRORS:
        return None
    metadata = envelope.metadata
    spec = _decode_spec(envelope.spec)
    return StoreObject(metadata['name'], metadata['revision'], spec)


def _decode_spec(raw: msgspec.Raw) -> Any:
    try:
        return msgspec.json.decode(raw)
    except DECODE_ERRORS:
        return None
