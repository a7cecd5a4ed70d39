"""Client of the platform's object store."""

from collections.abc import Callable
from typing import Final
from urllib.parse import quote

from dykemast._internal.exceptions import (
    HistoryLostError,
    PlatformError,
    PlatformUnavailableError,
)
from dykemast._internal.network.platform_session import Answer, PlatformSession
from dykemast._internal.platform import store_codec, store_pages
from dykemast._internal.platform.store_types import (
    Changes,
    Listing,
    Page,
    StoreObject,
    split_position,
)

#: Time that the store may hold a watch open; the platform allows 30 s.
WATCH_TIMEOUT_S: Final = 25.0
_MS: Final = 1000


def _ignore_era(_: int) -> None:
    """Take each answer as usable."""


class ObjectStore:
    """Client for the object store.

    :param session: HTTP transport to the store.
    :param check_era: called with the era of each answer; raises
        ``EarlierEraError`` where the answer must not be used.
    """

    def __init__(
        self,
        session: PlatformSession,
        check_era: Callable[[int], None] = _ignore_era,
    ) -> None:
        """Initialize the client with zero call counts."""
        self._session = session
        self._check_era = check_era
        #: Number of calls by method; watches count as ``WATCH``.
        self.calls: dict[str, int] = {}

    async def list_kind(self, kind: str) -> Listing:
        """List all objects of a kind, page by page.

        :param kind: kind of the objects.
        :returns: the objects, and a position that is not newer than any page.
        :raises PlatformError: when the call fails, or the store returned from
            an older copy between two pages.
        """
        path = f'/objects/{kind}'
        page = store_pages.decode_page(await self._call('GET', path))
        listing = page.listing
        while page.more:
            last = _find_last(page)
            # "afterRevision" takes an object name, not a revision.
            answer = await self._call('GET', f'{path}?afterRevision={last}')
            page = store_pages.decode_page(answer)
            _check_same_era(listing, page.listing)
            listing.found.extend(page.listing.found)
        return listing

    async def read(self, kind: str, name: str) -> StoreObject:
        """Read an object.

        :param kind: kind of the object.
        :param name: name of the object.
        :returns: the object; revision 0 when it does not exist.
        :raises PlatformError: when the call fails.
        """
        answer = await self._call('GET', f'/objects/{kind}/{name}')
        if answer.status == store_codec.NOT_FOUND:
            return StoreObject(name, 0, None, answer.era)
        body = store_codec.check_done(answer)
        return store_codec.decode_object(body, answer.era)

    async def write(self, kind: str, stored: StoreObject) -> StoreObject:
        """Write an object if it still has the expected revision.

        :param kind: kind of the object.
        :param stored: new value with the expected revision; 0 creates the
            object, ``ANY_REVISION`` replaces it unconditionally.
        :returns: the object as written.
        :raises MissingObjectError: when there is no object to replace.
        :raises VersionConflictError: when the revision differs; carries the
            current object.
        :raises PlatformUnavailableError: when no response arrives; the write
            may have taken effect, or may do so later.
        """
        body = store_codec.encode_object(stored)
        path = f'/objects/{kind}'
        if not stored.revision:
            created = await self._call('POST', path, body)
            return store_codec.decode_written(created)
        replaced = await self._call('PUT', f'{path}/{stored.name}', body)
        return store_codec.decode_written(replaced)

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object; a missing object is no error.

        :param kind: kind of the object.
        :param name: name of the object.
        :raises PlatformError: when the call fails.
        """
        answer = await self._call('DELETE', f'/objects/{kind}/{name}')
        if answer.status != store_codec.NOT_FOUND:
            store_codec.check_done(answer)

    async def watch(self, kind: str, position: int) -> Changes:
        """Wait for changes of objects of a kind.

        :param kind: kind of the objects.
        :param position: position from the previous listing or watch.
        :returns: the changes; empty when the watch timed out.
        :raises HistoryLostError: when the kind has to be listed again.
        :raises PlatformError: when the call fails otherwise.
        """
        wait = int(WATCH_TIMEOUT_S * _MS)
        era, revision = split_position(position)
        path = f'/objects/{kind}?watch={revision}&waitMs={wait}'
        answer = await self._call('GET', path, wait=WATCH_TIMEOUT_S)
        if answer.status == store_codec.GONE:
            raise HistoryLostError(
                f'store no longer has the changes of {kind} after {revision}.'
            )
        if answer.era != era:
            raise HistoryLostError(
                f'changes of {kind} after {revision} are of era {answer.era} '
                f'instead of {era}.'
            )
        return store_pages.decode_changes(answer)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        wait: float = 0,
    ) -> Answer:
        kind = 'WATCH' if wait else method
        self.calls[kind] = self.calls.get(kind, 0) + 1
        answer = await self._session.call(method, path, body, wait)
        self._check_era(answer.era)
        return answer


def _check_same_era(first: Listing, later: Listing) -> None:
    """Check that two pages of a listing are of one history."""
    eras = [split_position(page.position)[0] for page in (first, later)]
    if len(set(eras)) > 1:
        raise PlatformUnavailableError(
            f'pages of the listing are of eras {eras} of the store.'
        )


def _find_last(page: Page) -> str:
    """Find the name after which the next page starts."""
    if not page.listing.found:
        raise PlatformError(
            'no object on a page of the listing can be decoded.'
        )
    return quote(page.listing.found[-1].name, safe='')
