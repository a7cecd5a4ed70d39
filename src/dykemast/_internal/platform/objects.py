"""Client of the platform's object store."""

from typing import Final
from urllib.parse import quote

from dykemast._internal.exceptions import HistoryLostError, PlatformError
from dykemast._internal.network.platform_session import Answer, PlatformSession
from dykemast._internal.platform import store_codec, store_pages
from dykemast._internal.platform.store_types import (
    Changes,
    Listing,
    Page,
    StoreObject,
)

#: Seconds that a watch may be held back; the platform allows 30.
WATCH_TIMEOUT_S: Final = 25.0
_MS: Final = 1000


class ObjectStore:
    """Calls of the object store.

    :param session: transport to it.
    """

    def __init__(self, session: PlatformSession) -> None:
        """Keep the transport and count nothing yet."""
        self._session = session
        #: Calls made so far, by method; those that wait count as ``WATCH``.
        self.calls: dict[str, int] = {}

    async def list_kind(self, kind: str) -> Listing:
        """Read all objects of a kind, page by page.

        :param kind: the kind.
        :returns: the objects, and a revision not newer than any of them.
        :raises PlatformError: when it failed.
        """
        path = f'/objects/{kind}'
        page = store_pages.decode_page(await self._call('GET', path))
        listing = page.listing
        while page.more:
            last = _find_last(page)
            # This field takes the name to continue after, not a revision.
            answer = await self._call('GET', f'{path}?afterRevision={last}')
            page = store_pages.decode_page(answer)
            listing.found.extend(page.listing.found)
        return listing

    async def read(self, kind: str, name: str) -> StoreObject:
        """Read an object.

        :param kind: its kind.
        :param name: its name.
        :returns: the object; revision 0 when there is none.
        :raises PlatformError: when it failed.
        """
        answer = await self._call('GET', f'/objects/{kind}/{name}')
        if answer.status == store_codec.NOT_FOUND:
            return StoreObject(name, 0, None)
        return store_codec.decode_object(store_codec.check_done(answer))

    async def write(self, kind: str, stored: StoreObject) -> StoreObject:
        """Write an object if it still has its revision.

        :param kind: its kind.
        :param stored: its new value, with the expected revision; 0 creates,
            ``ANY_REVISION`` replaces whatever is there.
        :returns: the object as it is now.
        :raises MissingObjectError: when there is none to replace.
        :raises VersionConflictError: when it has another; carries the
            object.
        :raises PlatformAwayError: when no answer came; it may be written,
            also later.
        """
        body = store_codec.encode_object(stored)
        path = f'/objects/{kind}'
        if not stored.revision:
            created = await self._call('POST', path, body)
            return store_codec.decode_written(created)
        replaced = await self._call('PUT', f'{path}/{stored.name}', body)
        return store_codec.decode_written(replaced)

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object; one that is not there is no error.

        :param kind: its kind.
        :param name: its name.
        :raises PlatformError: when it failed.
        """
        answer = await self._call('DELETE', f'/objects/{kind}/{name}')
        if answer.status != store_codec.NOT_FOUND:
            store_codec.check_done(answer)

    async def watch(self, kind: str, revision: int) -> Changes:
        """Wait for changes of a kind.

        :param kind: the kind.
        :param revision: from the listing or the watch before.
        :returns: what changed, possibly nothing.
        :raises HistoryLostError: when the kind has to be listed again.
        :raises PlatformError: when it failed otherwise.
        """
        wait = int(WATCH_TIMEOUT_S * _MS)
        path = f'/objects/{kind}?watch={revision}&waitMs={wait}'
        answer = await self._call('GET', path, wait=WATCH_TIMEOUT_S)
        if answer.status == store_codec.GONE:
            raise HistoryLostError(f'history of {kind} is gone.')
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
        return await self._session.call(method, path, body, wait)


def _find_last(page: Page) -> str:
    """Find the name after which the next page begins."""
    if not page.listing.found:
        raise PlatformError('a whole page of the listing is not readable.')
    return quote(page.listing.found[-1].name, safe='')
