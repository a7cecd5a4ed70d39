"""Encoding of single objects of the platform's object store."""

from typing import Any, Final

import msgspec

from dykemast._internal.exceptions import (
    MissingObjectError,
    PlatformUnavailableError,
    PlatformError,
    VersionConflictError,
)
from dykemast._internal.network.platform_session import Answer
from dykemast._internal.platform.store_items import decode_item
from dykemast._internal.platform.store_types import StoreObject

NOT_FOUND: Final = 404
GONE: Final = 410
_CONFLICT: Final = 409
_DONE: Final = frozenset((200, 201))
#: Statuses that guarantee that the call had no effect.
_REFUSED: Final = frozenset((429, 503))


def encode_object(stored: StoreObject) -> bytes:
    """Encode an object.

    :param stored: the object; a revision above 0 must match the stored one.
    :returns: the request body.
    """
    metadata: dict[str, Any] = {'name': stored.name}
    if stored.revision > 0:
        metadata['revision'] = stored.revision
    return msgspec.json.encode({'metadata': metadata, 'spec': stored.spec})


def decode_object(body: bytes, era: int = 0) -> StoreObject:
    """Decode an object.

    :param body: response body of the store.
    :param era: era of the store that answered.
    :returns: the object.
    :raises PlatformError: when it has no valid name and revision.
    """
    stored = decode_item(body, era)
    if stored is None:
        raise PlatformError(
            'store response has no valid object name and revision.'
        )
    return stored


def decode_written(answer: Answer) -> StoreObject:
    """Decode the response to a write.

    :param answer: response of the store.
    :returns: the object as written.
    :raises VersionConflictError: when the object has another revision.
    :raises MissingObjectError: when the object does not exist.
    :raises PlatformError: when the write failed otherwise.
    """
    if answer.status == _CONFLICT:
        text = 'the object does not have the expected revision.'
        current = decode_item(answer.body, answer.era)
        raise VersionConflictError(text, current)
    if answer.status == NOT_FOUND:
        raise MissingObjectError('the object does not exist.')
    return decode_object(check_done(answer), answer.era)


def check_done(answer: Answer) -> bytes:
    """Check that a call succeeded.

    :param answer: response of the store.
    :returns: the response body.
    :raises PlatformError: when the call failed.
    """
    if answer.status not in _DONE:
        text = f'store answered with status {answer.status}.'
        raise PlatformUnavailableError(text, refused=answer.status in _REFUSED)
    return answer.body
