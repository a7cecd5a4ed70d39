"""Bodies of the platform's object store."""

from typing import Any, Final

import msgspec

from dykemast._internal.exceptions import (
    PlatformAwayError,
    PlatformError,
    VersionConflictError,
)
from dykemast._internal.network.platform_session import Answer
from dykemast._internal.platform.store_types import (
    Changes,
    Event,
    Listing,
    Page,
    StoreObject,
)

NOT_FOUND: Final = 404
GONE: Final = 410
_CONFLICT: Final = 409
_DONE: Final = frozenset((200, 201))
#: Answers that say that nothing was done.
_REFUSED: Final = frozenset((429, 503))


def encode_object(stored: StoreObject) -> bytes:
    """Write an object down.

    :param stored: the object; a revision other than 0 has to be met.
    :returns: the body.
    """
    metadata: dict[str, Any] = {'name': stored.name}
    if stored.revision:
        metadata['revision'] = stored.revision
    return msgspec.json.encode({'metadata': metadata, 'spec': stored.spec})


def decode_object(fields: Any) -> StoreObject:
    """Read an object.

    :param fields: as the store wrote it.
    :returns: the object.
    :raises PlatformError: when it makes no sense.
    """
    try:
        metadata = fields['metadata']
    except (KeyError, TypeError) as error:
        raise PlatformError(f'not an object: {error}') from error
    return StoreObject(
        metadata['name'], metadata['revision'], fields.get('spec')
    )


def decode_written(answer: Answer) -> StoreObject:
    """Read the answer to a write.

    :param answer: the answer.
    :returns: the object as it is now.
    :raises VersionConflictError: when it has another revision.
    :raises PlatformError: when the write failed otherwise.
    """
    if answer.status == _CONFLICT:
        text = 'the object has another revision.'
        fields = _decode_json(answer.body) if answer.body else {}
        current = decode_object(fields) if 'metadata' in fields else None
        raise VersionConflictError(text, current)
    return decode_object(decode(answer))


def decode_page(answer: Answer) -> Page:
    """Read one page of a listing.

    :param answer: the answer.
    :returns: the page.
    :raises PlatformError: when the call failed.
    """
    fields = decode(answer)
    found = [decode_object(one) for one in fields['items']]
    listing = Listing(found, fields['storeRevision'])
    return Page(listing, bool(fields.get('morePages')))


def decode_changes(answer: Answer) -> Changes:
    """Read the answer to a watch.

    :param answer: the answer.
    :returns: the changes.
    :raises PlatformError: when the watch failed.
    """
    fields = decode(answer)
    events = [
        Event(decode_object(one['object']), bool(one['removed']))
        for one in fields['events']
    ]
    return Changes(events, fields['storeRevision'])


def decode(answer: Answer) -> Any:
    """Read an answer.

    :param answer: the answer.
    :returns: its JSON document.
    :raises PlatformError: when the call failed, or the body is none.
    """
    if answer.status not in _DONE:
        text = f'the store answered {answer.status}.'
        raise PlatformAwayError(text, refused=answer.status in _REFUSED)
    return _decode_json(answer.body)


def _decode_json(body: bytes) -> Any:
    try:
        return msgspec.json.decode(body)
    except msgspec.MsgspecError as error:
        raise PlatformError(
            f'the store sent something else: {error}'
        ) from error
