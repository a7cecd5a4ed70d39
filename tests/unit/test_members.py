"""The own entry of a router in the store."""

import asyncio
from typing import Any

from dykemast._internal.exceptions import (
    MissingObjectError,
    PlatformUnavailableError,
    VersionConflictError,
)
from dykemast._internal.platform.store_types import Listing, StoreObject
from dykemast._internal.serving.members import members, own_entry
from tests.lib.serving_boards import make_board

#: Seconds in which a router attempts to register at least once.
MARGIN_S = 0.05


class EntryStore:
    """Entries of routers."""

    def __init__(self) -> None:
        self.entries: dict[str, StoreObject] = {}
        self.calls: list[str] = []
        self.is_away = False

    async def list_kind(self, _: str) -> Listing:
        self.calls.append('list')
        return Listing(list(self.entries.values()), 1)

    async def write(self, _: str, entry: StoreObject) -> StoreObject:
        creates = not entry.revision
        self.calls.append('create' if creates else 'replace')
        if self.is_away:
            raise PlatformUnavailableError('no answer')
        if entry.name in self.entries and creates:
            raise VersionConflictError('it is there')
        if entry.name not in self.entries and not creates:
            raise MissingObjectError('it is not there')
        self.entries[entry.name] = entry
        return entry

    async def delete(self, *_: Any) -> None:
        self.entries.clear()


async def test_an_entry_that_is_deleted_late_is_written_again() -> None:
    # A deletion that got no answer may take effect after the registration.
    store, board = EntryStore(), make_board()
    await own_entry.register_self(board, store)
    await store.delete()
    await members.refresh_peers(board, store)
    assert set(store.entries) == {'node-0'}


async def test_a_router_that_stops_does_not_register_again() -> None:
    # The loop that registers it goes on while the stop deletes the entry.
    store, board = EntryStore(), make_board()
    store.is_away = True
    work = asyncio.create_task(members.keep_registered(board, store))
    await asyncio.sleep(MARGIN_S)
    board.stopping = True
    store.is_away = False
    await asyncio.sleep(2 * members.RETRY_PAUSE_S)
    work.cancel()
    assert not store.entries


async def count_start_calls(store: EntryStore, *, first: bool) -> list[str]:
    """List the calls of a router in its first seconds."""
    board = make_board()
    board.settings = board.settings._replace(first_start=first)
    store.calls.clear()
    work = asyncio.create_task(members.keep_registered(board, store))
    await asyncio.sleep(members.START_PAUSE_S + MARGIN_S)
    work.cancel()
    return store.calls


async def test_a_restart_makes_two_calls_for_its_entry_and_the_list() -> None:
    # Only at the first start of all routers may the first listing be empty.
    store = EntryStore()
    first = await count_start_calls(store, first=True)
    assert first == ['create', 'list', 'list']
    assert await count_start_calls(store, first=False) == ['replace', 'list']


async def test_an_entry_is_written_whether_or_not_there_is_one() -> None:
    store, board = EntryStore(), make_board()
    await own_entry.register_self(board, store)
    assert store.calls == ['replace', 'create']
    board.settings = board.settings._replace(first_start=True)
    await own_entry.register_self(board, store)
    assert store.calls[2:] == ['create', 'replace']
