"""Decoding of listings and watches of the platform's object store."""

from typing import NotRequired, TypedDict, TypeVar

import msgspec

from dykemast._internal.exceptions import HistoryLostError, PlatformError
from dykemast._internal.network.platform_session import Answer
from dykemast._internal.platform.json_members import (
    DECODE_ERRORS,
    blank_unreadable,
)
from dykemast._internal.platform.store_codec import check_done
from dykemast._internal.platform.store_items import (
    decode_item,
    decode_readable,
)
from dykemast._internal.platform.store_types import (
    Changes,
    Event,
    Listing,
    Page,
    Revision,
    make_position,
)

_Document = TypeVar('_Document')
_Page = TypedDict(
    '_Page',
    {
        'items': list[msgspec.Raw],
        'storeRevision': Revision,
        'morePages': NotRequired[bool],
    },
)
_WatchBody = TypedDict(
    '_WatchBody', {'events': list[msgspec.Raw], 'storeRevision': Revision}
)


class _Event(msgspec.Struct):
    """A change with an undecoded object, which a TypedDict cannot hold."""

    removed: bool
    changed: msgspec.Raw = msgspec.field(name='object')


def decode_page(answer: Answer) -> Page:
    """Decode one page of a listing; items that are invalid are left out.

    :param answer: response of the store.
    :returns: the page.
    :raises PlatformError: when the call failed or the page is invalid.
    """
    page = _decode_as(check_done(answer), _Page)
    found = decode_readable(page['items'], answer.era)
    position = make_position(answer.era, page['storeRevision'])
    listing = Listing(found, position)
    return Page(listing, page.get('morePages', False))


def decode_changes(answer: Answer) -> Changes:
    """Decode the response to a watch.

    :param answer: response of the store.
    :returns: the changes.
    :raises HistoryLostError: when a change cannot be decoded; only a new
        listing shows which objects exist.
    :raises PlatformError: when the watch failed.
    """
    decoded = _decode_as(check_done(answer), _WatchBody)
    events = [_decode_event(raw, answer.era) for raw in decoded['events']]
    position = make_position(answer.era, decoded['storeRevision'])
    return Changes(events, position)


def _decode_event(raw: bytes, era: int) -> Event:
    try:
        event = msgspec.json.decode(raw, type=_Event)
    except DECODE_ERRORS as error:
        raise HistoryLostError(f'cannot decode a change: {error}') from error
    changed = decode_item(event.changed, era)
    if changed is None:
        raise HistoryLostError(
            'cannot decode the name and revision of a changed object.'
        )
    return Event(changed, event.removed)


def _decode_as(body: bytes, kind: type[_Document]) -> _Document:
    try:
        return msgspec.json.decode(body, type=kind)
    except DECODE_ERRORS:
        return _decode_repaired(body, kind)


def _decode_repaired(body: bytes, kind: type[_Document]) -> _Document:
    """Decode a document in which single items are not valid JSON."""
    try:
        return msgspec.json.decode(blank_unreadable(body), type=kind)
    except DECODE_ERRORS as error:
        text = f'cannot decode the store response: {error}'
        raise PlatformError(text) from error
