"""A router's own entry in the list of routers."""

import asyncio
from typing import Any

from dykemast._internal.exceptions import PlatformAwayError
from dykemast._internal.platform.store_types import Listing, StoreObject
from dykemast._internal.serving.members import members
from tests.lib.serving_boards import make_board

#: Seconds in which the loop of a router tries to list it at least once.
LOOK = 0.05


class EntryStore:
    """Entries of routers."""

    def __init__(self) -> None:
        self.entries: dict[str, StoreObject] = {}
        self.is_away = False

    async def list_kind(self, _: str) -> Listing:
        return Listing(list(self.entries.values()), 1)

    async def write(self, _: str, entry: StoreObject) -> StoreObject:
        if self.is_away:
            raise PlatformAwayError('no answer')
        self.entries[entry.name] = entry
        return entry

    async def delete(self, *_: Any) -> None:
        self.entries.clear()


async def test_an_entry_that_is_removed_late_is_written_again() -> None:
    # The removal by the process before, without an answer, may take effect
    # after the next process has listed itself; it did so once only.
    store, board = EntryStore(), make_board()
    await members.list_self(board, store)
    await store.delete()
    await members.read_peers(board, store)
    assert set(store.entries) == {'node-0'}


async def test_a_router_that_ends_does_not_list_itself_again() -> None:
    # The store came back after a stop had begun: the entry was removed, then
    # written by the loop that lists the router, and stayed.
    store, board = EntryStore(), make_board()
    store.is_away = True
    work = asyncio.create_task(members.keep_listed(board, store))
    await asyncio.sleep(LOOK)
    board.stopping = True
    store.is_away = False
    await asyncio.sleep(2 * members.RETRY_PAUSE)
    work.cancel()
    assert not store.entries
