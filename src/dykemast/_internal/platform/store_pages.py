"""Bodies of the platform's object store: listings and watches."""

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
)

_Document = TypeVar('_Document')
_Page = TypedDict(
    '_Page',
    {
        'items': list[msgspec.Raw],
        'storeRevision': int,
        'morePages': NotRequired[bool],
    },
)
_Told = TypedDict('_Told', {'events': list[msgspec.Raw], 'storeRevision': int})


class _Event(msgspec.Struct):
    """A change whose object is still unread; no dictionary holds that."""

    removed: bool
    changed: msgspec.Raw = msgspec.field(name='object')


def decode_page(answer: Answer) -> Page:
    """Read one page of a listing; items that cannot be read are left out.

    :param answer: the answer.
    :returns: the page.
    :raises PlatformError: when the call failed.
    """
    page = _decode_as(check_done(answer), _Page)
    listing = Listing(decode_readable(page['items']), page['storeRevision'])
    return Page(listing, page.get('morePages', False))


def decode_changes(answer: Answer) -> Changes:
    """Read the answer to a watch.

    :param answer: the answer.
    :returns: the changes.
    :raises HistoryLostError: when a change cannot be read: only a listing
        tells which objects there are now.
    :raises PlatformError: when the watch failed.
    """
    told = _decode_as(check_done(answer), _Told)
    events = [_decode_event(raw) for raw in told['events']]
    return Changes(events, told['storeRevision'])


def _decode_event(raw: bytes) -> Event:
    try:
        event = msgspec.json.decode(raw, type=_Event)
    except DECODE_ERRORS as error:
        raise HistoryLostError(f'a change is not readable: {error}') from error
    changed = decode_item(event.changed)
    if changed is None:
        raise HistoryLostError('a changed object is not readable.')
    return Event(changed, event.removed)


def _decode_as(body: bytes, kind: type[_Document]) -> _Document:
    try:
        return msgspec.json.decode(body, type=kind)
    except DECODE_ERRORS:
        return _decode_repaired(body, kind)


def _decode_repaired(body: bytes, kind: type[_Document]) -> _Document:
    """Read a document in which an item is no JSON at all."""
    try:
        return msgspec.json.decode(blank_unreadable(body), type=kind)
    except DECODE_ERRORS as error:
        text = f'the store sent something else: {error}'
        raise PlatformError(text) from error
