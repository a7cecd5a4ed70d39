"""Item-by-item decoding of listings and watches.

Any client can write to the store, so an invalid item must not affect others.
If a page were decoded as a whole, a single string that is not UTF-8 would
leave the fleet without any backend server.
"""

from collections.abc import Iterable
from typing import Any, TypedDict

import msgspec

from dykemast._internal.platform.json_members import DECODE_ERRORS
from dykemast._internal.platform.store_types import Revision, StoreObject
from dykemast._internal.utils.events import make_logger

_log = make_logger('store')


class _Metadata(TypedDict):
    name: str
    revision: Revision


class _Envelope(msgspec.Struct):
    """An object with undecoded content, which a TypedDict cannot hold."""

    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b'null')


def decode_readable(raws: Iterable[bytes], era: int = 0) -> list[StoreObject]:
    """Decode items; log the number of those that are invalid.

    :param raws: undecoded items.
    :param era: era of the store that they are of.
    :returns: the objects that could be decoded.
    """
    found = [decode_item(raw, era) for raw in raws]
    unreadable = found.count(None)
    if unreadable:
        _log('items_not_readable', count=unreadable, of=len(found))
    return [stored for stored in found if stored]


def decode_item(raw: bytes, era: int = 0) -> StoreObject | None:
    """Decode one object.

    :param raw: undecoded object.
    :param era: era of the store that it is of.
    :returns: the object, with a spec of None when its content is invalid; None
        when its name or revision cannot be decoded.
    """
    try:
        envelope = msgspec.json.decode(raw, type=_Envelope)
    except DECODE_ERRORS:
        return None
    metadata = envelope.metadata
    spec = _decode_spec(envelope.spec)
    return StoreObject(metadata['name'], metadata['revision'], spec, era)


def _decode_spec(raw: msgspec.Raw) -> Any:
    try:
        return msgspec.json.decode(raw)
    except DECODE_ERRORS:
        return None
