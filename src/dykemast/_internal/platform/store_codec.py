"""Bodies of the platform's object store: single objects."""

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
#: Answers that say that nothing was done.
_REFUSED: Final = frozenset((429, 503))


def encode_object(stored: StoreObject) -> bytes:
    """Write an object down.

    :param stored: the object; a revision other than 0 has to be met.
    :returns: the body.
    """
    metadata: dict[str, Any] = {'name': stored.name}
    if stored.revision > 0:
        metadata['revision'] = stored.revision
    return msgspec.json.encode({'metadata': metadata, 'spec': stored.spec})


def decode_object(body: bytes) -> StoreObject:
    """Read an object.

    :param body: as the store wrote it.
    :returns: the object.
    :raises PlatformError: when it does not tell its name and revision.
    """
    stored = decode_item(body)
    if stored is None:
        raise PlatformError('the store sent something that is no object.')
    return stored


def decode_written(answer: Answer) -> StoreObject:
    """Read the answer to a write.

    :param answer: the answer.
    :returns: the object as it is now.
    :raises VersionConflictError: when it has another revision.
    :raises MissingObjectError: when there is none.
    :raises PlatformError: when the write failed otherwise.
    """
    if answer.status == _CONFLICT:
        text = 'the object has another revision.'
        raise VersionConflictError(text, decode_item(answer.body))
    if answer.status == NOT_FOUND:
        raise MissingObjectError('there is no such object.')
    return decode_object(check_done(answer))


def check_done(answer: Answer) -> bytes:
    """Check that a call was carried out.

    :param answer: the answer.
    :returns: its body.
    :raises PlatformError: when the call failed.
    """
    if answer.status not in _DONE:
        text = f'the store answered {answer.status}.'
        raise PlatformUnavailableError(text, refused=answer.status in _REFUSED)
    return answer.body
