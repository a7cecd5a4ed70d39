"""Session with the platform's object API (docs/platform.md)."""

from typing import Any, Final, NamedTuple
from urllib.parse import quote

import msgspec

from dykemast._internal.exceptions import (
    PlatformUnavailableError,
    PlatformError,
    VersionConflictError,
)
from dykemast._internal.models.fleet import Instance
from dykemast._internal.network.platform_session import (
    Answer,
    PlatformSession,
)

#: Seconds that a watch waits for a change.
WATCH_TIMEOUT_S: Final = 20.0
_OK: Final = 200
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409


class Stored(NamedTuple):
    """An object as read.

    :param body: its value.
    :param version: grows with each write; 0 when there is no such object.
    """

    body: bytes
    version: int


class Listed(NamedTuple):
    """An object's name and version."""

    name: str
    version: int


class Change(NamedTuple):
    """Result of a watch.

    :param mark: to be given to the next watch.
    :param names: objects that changed.
    """

    mark: int
    names: list[str]


class Platform:
    """Calls of the object API.

    :param session: transport to it.
    """

    def __init__(self, session: PlatformSession) -> None:
        """Keep the transport."""
        self._session = session

    async def read(self, name: str) -> Stored:
        """Read an object.

        :param name: its name.
        :returns: value and version; version 0 when there is none.
        :raises PlatformAwayError: when no answer came.
        """
        answer = await self._session.call('GET', _locate(name))
        if answer.status == _NOT_FOUND:
            return Stored(b'', 0)
        stored = _decode(answer, dict[str, Any])
        return Stored(stored['value'].encode(), stored['version'])

    async def write(self, name: str, body: bytes, version: int) -> int:
        """Write an object if it still has a version.

        :param name: its name.
        :param body: new value, UTF-8.
        :param version: the expected one; 0 to create the object.
        :returns: its new version.
        :raises VersionConflictError: when it has another; nothing is written.
        :raises PlatformAwayError: when no answer came; it may be written.
        """
        path = f'{_locate(name)}?if_version={version}'
        answer = await self._session.call('PUT', path, body)
        return _decode(answer, dict[str, int])['version']

    async def delete(self, name: str, version: int) -> None:
        """Delete an object if it still has a version.

        :param name: its name.
        :param version: the expected one.
        """
        path = f'{_locate(name)}?if_version={version}'
        answer = await self._session.call('DELETE', path)
        _decode(answer, dict[str, int])

    async def list_objects(self, prefix: str) -> list[Listed]:
        """List objects.

        :param prefix: start of their names.
        :returns: names and versions, by name.
        """
        answer = await self._session.call(
            'GET', f'/objects?prefix={quote(prefix)}'
        )
        return _decode(answer, list[Listed])

    async def list_instances(self) -> list[Instance]:
        """Read the list of instances, which lags.

        :returns: live and leaving instances.
        """
        answer = await self._session.call('GET', '/instances')
        return _decode(answer, list[Instance])

    async def watch(self, prefix: str, mark: int) -> Change:
        """Wait for a change.

        :param prefix: start of the names to watch.
        :param mark: from the last watch; 0 at first.
        :returns: what changed, possibly nothing.
        """
        path = f'/watch?prefix={quote(prefix)}&mark={mark}'
        answer = await self._session.call('GET', path, wait=WATCH_TIMEOUT_S)
        return _decode(answer, Change)


def _locate(name: str) -> str:
    return f'/objects/{quote(name)}'


def _decode(answer: Answer, shape: Any) -> Any:
    if answer.status == _CONFLICT:
        raise VersionConflictError('object has another version.')
    if answer.status != _OK:
        # 429 and 5xx alike: whether a write took effect is not known.
        raise PlatformUnavailableError(f'platform answered {answer.status}.')
    try:
        return msgspec.json.decode(answer.body, type=shape)
    except msgspec.MsgspecError as error:
        raise PlatformError(f'platform sent something else: {error}') from error
