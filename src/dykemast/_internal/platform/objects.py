"""Client of the platform's object store."""

from typing import Any, Final, NamedTuple

import msgspec

from dykemast._internal.exceptions import (
    HistoryLostError,
    PlatformAwayError,
    PlatformError,
    VersionConflictError,
)
from dykemast._internal.network.platform_session import Answer, PlatformSession

#: Seconds that a watch may be held back; the platform allows 30.
WATCH_TIMEOUT: Final = 25.0
_OK: Final = 200
_CREATED: Final = 201
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409
_GONE: Final = 410
_MS: Final = 1000


class StoreObject(NamedTuple):
    """An object of the store.

    :param name: unique in its kind.
    :param revision: of its last change; 0 when it does not exist.
    :param spec: what it holds.
    """

    name: str
    revision: int
    spec: Any


class Listing(NamedTuple):
    """All objects of a kind.

    :param objects: as they were.
    :param revision: of the store; a watch goes on from it.
    """

    objects: list[StoreObject]
    revision: int


class Event(NamedTuple):
    """A change of an object.

    :param changed: the object, as it is or as it was when it was removed.
    :param removed: whether it is gone.
    """

    changed: StoreObject
    removed: bool


class Changes(NamedTuple):
    """Answer of a watch.

    :param events: in order.
    :param revision: the next watch goes on from it.
    """

    events: list[Event]
    revision: int


class ObjectStore:
    """Calls of the object store.

    :param session: transport to it.
    """

    def __init__(self, session: PlatformSession) -> None:
        """Keep the transport and count nothing yet."""
        self._session = session
        self.calls: dict[str, int] = {}

    async def list_kind(self, kind: str) -> Listing:
        """Read all objects of a kind, page by page.

        :param kind: the kind.
        :returns: the objects, and a revision not newer than any of them.
        :raises PlatformError: when it failed.
        """
        found: list[StoreObject] = []
        path = f'/objects/{kind}'
        page = await self._get(path)
        revision = page['storeRevision']
        while True:
            found += [_decode_object(one) for one in page['items']]
            if not page.get('morePages'):
                return Listing(found, revision)
            # This field holds the name to continue after, not a revision.
            page = await self._get(f'{path}?afterRevision={found[-1].name}')

    async def read(self, kind: str, name: str) -> StoreObject:
        """Read an object.

        :param kind: its kind.
        :param name: its name.
        :returns: the object; revision 0 when there is none.
        :raises PlatformError: when it failed.
        """
        answer = await self._call('GET', f'/objects/{kind}/{name}')
        if answer.status == _NOT_FOUND:
            return StoreObject(name, 0, None)
        return _decode_object(_decode(answer))

    async def write(self, kind: str, stored: StoreObject) -> StoreObject:
        """Write an object if it still has its revision.

        :param kind: its kind.
        :param stored: its new value, with the expected revision; 0 creates.
        :returns: the object as it is now.
        :raises VersionConflictError: when it has another; carries the
            object.
        :raises PlatformAwayError: when no answer came; it may be written,
            also later.
        """
        metadata: dict[str, Any] = {'name': stored.name}
        body = {'metadata': metadata, 'spec': stored.spec}
        if not stored.revision:
            answer = await self._call('POST', f'/objects/{kind}', body)
            return _decode_written(answer)
        metadata['revision'] = stored.revision
        path = f'/objects/{kind}/{stored.name}'
        return _decode_written(await self._call('PUT', path, body))

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object; one that is not there is no error.

        :param kind: its kind.
        :param name: its name.
        :raises PlatformError: when it failed.
        """
        answer = await self._call('DELETE', f'/objects/{kind}/{name}')
        if answer.status != _NOT_FOUND:
            _decode(answer)

    async def watch(self, kind: str, revision: int) -> Changes:
        """Wait for changes of a kind.

        :param kind: the kind.
        :param revision: from the listing or the watch before.
        :returns: what changed, possibly nothing.
        :raises HistoryLostError: when the kind has to be listed again.
        :raises PlatformError: when it failed otherwise.
        """
        wait = int(WATCH_TIMEOUT * _MS)
        path = f'/objects/{kind}?watch={revision}&waitMs={wait}'
        answer = await self._call('GET', path, wait=WATCH_TIMEOUT)
        if answer.status == _GONE:
            raise HistoryLostError(f'history of {kind} is gone.')
        fields = _decode(answer)
        events = [
            Event(_decode_object(one['object']), bool(one['removed']))
            for one in fields['events']
        ]
        return Changes(events, fields['storeRevision'])

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def _get(self, path: str) -> Any:
        return _decode(await self._call('GET', path))

    async def _call(
        self,
        method: str,
        path: str,
        body: Any = None,
        wait: float = 0,
    ) -> Answer:
        kind = 'WATCH' if wait else method
        self.calls[kind] = self.calls.get(kind, 0) + 1
        encoded = b'' if body is None else msgspec.json.encode(body)
        return await self._session.call(method, path, encoded, wait)


def _decode_object(fields: Any) -> StoreObject:
    metadata = fields['metadata']
    return StoreObject(
        metadata['name'], metadata['revision'], fields.get('spec')
    )


def _decode_written(answer: Answer) -> StoreObject:
    if answer.status == _CONFLICT:
        raise VersionConflictError(
            'the object has another revision.', _find_object(answer.body)
        )
    return _decode_object(_decode(answer))


def _find_object(body: bytes) -> StoreObject | None:
    fields = _decode_json(body) if body else None
    if isinstance(fields, dict) and 'metadata' in fields:
        return _decode_object(fields)
    return None


def _decode(answer: Answer) -> Any:
    if answer.status not in {_OK, _CREATED}:
        text = f'the store answered {answer.status}.'
        raise PlatformAwayError(text, refused=answer.status in {429, 503})
    return _decode_json(answer.body)


def _decode_json(body: bytes) -> Any:
    try:
        return msgspec.json.decode(body)
    except msgspec.MsgspecError as error:
        raise PlatformError(
            f'the store sent something else: {error}'
        ) from error
