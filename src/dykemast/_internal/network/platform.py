"""Client of the platform's object API (docs/platform.md)."""

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

#: Time that a watch waits for a change.
WATCH_TIMEOUT_S: Final = 20.0
_OK: Final = 200
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409


class Stored(NamedTuple):
    """Value and version of an object.

    :param body: value of the object.
    :param version: grows with each write; 0 when the object does not exist.
    """

    body: bytes
    version: int


class Listed(NamedTuple):
    """An object's name and version."""

    name: str
    version: int


class Change(NamedTuple):
    """Result of a watch.

    :param mark: position from which the next watch continues.
    :param names: names of the changed objects.
    """

    mark: int
    names: list[str]


class Platform:
    """Client of the object API.

    :param session: HTTP transport to the platform.
    """

    def __init__(self, session: PlatformSession) -> None:
        """Initialize the client with its transport."""
        self._session = session

    async def read(self, name: str) -> Stored:
        """Read an object.

        :param name: name of the object.
        :returns: value and version; version 0 when the object does not exist.
        :raises PlatformUnavailableError: when no response arrives.
        """
        answer = await self._session.call('GET', _locate(name))
        if answer.status == _NOT_FOUND:
            return Stored(b'', 0)
        stored = _decode(answer, dict[str, Any])
        return Stored(stored['value'].encode(), stored['version'])

    async def write(self, name: str, body: bytes, version: int) -> int:
        """Write an object if it still has the expected version.

        :param name: name of the object.
        :param body: new value, UTF-8.
        :param version: expected version; 0 to create the object.
        :returns: the new version.
        :raises VersionConflictError: when the version differs; nothing is
            written.
        :raises PlatformUnavailableError: when no response arrives; the write
            may have taken effect.
        """
        path = f'{_locate(name)}?if_version={version}'
        answer = await self._session.call('PUT', path, body)
        return _decode(answer, dict[str, int])['version']

    async def delete(self, name: str, version: int) -> None:
        """Delete an object if it still has the expected version.

        :param name: name of the object.
        :param version: expected version.
        """
        path = f'{_locate(name)}?if_version={version}'
        answer = await self._session.call('DELETE', path)
        _decode(answer, dict[str, int])

    async def list_objects(self, prefix: str) -> list[Listed]:
        """List objects.

        :param prefix: prefix of the names.
        :returns: names and versions, ordered by name.
        """
        answer = await self._session.call(
            'GET', f'/objects?prefix={quote(prefix)}'
        )
        return _decode(answer, list[Listed])

    async def list_instances(self) -> list[Instance]:
        """Read the list of instances, which may be outdated.

        :returns: live and leaving instances.
        """
        answer = await self._session.call('GET', '/instances')
        return _decode(answer, list[Instance])

    async def watch(self, prefix: str, mark: int) -> Change:
        """Wait for a change.

        :param prefix: prefix of the names to watch.
        :param mark: mark of the previous watch; 0 initially.
        :returns: the change; without names when the watch timed out.
        """
        path = f'/watch?prefix={quote(prefix)}&mark={mark}'
        answer = await self._session.call('GET', path, wait=WATCH_TIMEOUT_S)
        return _decode(answer, Change)


def _locate(name: str) -> str:
    return f'/objects/{quote(name)}'


def _decode(answer: Answer, shape: Any) -> Any:
    if answer.status == _CONFLICT:
        raise VersionConflictError(
            'the object does not have the expected version.'
        )
    if answer.status != _OK:
        # For 429 and 5xx alike it is unknown whether a write took effect.
        raise PlatformUnavailableError(
            f'platform answered with status {answer.status}.'
        )
    try:
        return msgspec.json.decode(answer.body, type=shape)
    except msgspec.MsgspecError as error:
        text = f'cannot decode the platform response: {error}'
        raise PlatformError(text) from error
