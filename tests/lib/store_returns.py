"""Routers that list a store which returns from a copy."""

import asyncio
import contextlib
from collections.abc import Coroutine
from typing import Any, Final

from dykemast._internal.platform.servers import SERVER_KIND
from dykemast._internal.serving.knowledge import server_entries, updates
from dykemast._internal.serving.knowledge.backends import list_usable
from dykemast._internal.serving.knowledge.periodic_reads import (
    PeriodicRead,
    read_periodically,
)
from dykemast._internal.serving.state.board import ServingBoard
from tests.lib.store_session import StoreSession, open_store

#: More than a read of a store in memory takes.
MAX_STEPS: Final = 200
#: Changes that the copy lacks.
LOST_CHANGES: Final = 40


def make_session(*names: str) -> StoreSession:
    """Make a store with servers, and a copy of it."""
    session = StoreSession()
    for name in names:
        put_server(session, name, sequence=50)
    session.store.keep_copy()
    return session


def put_server(session: StoreSession, name: str, **fields: Any) -> None:
    """Write the entry of a server."""
    spec = {
        'service': 'lm',
        'address': '127.0.0.1:9',
        'zone': 'north',
        'slots': 4,
        'state': 'ready',
        **fields,
    }
    session.store.put(SERVER_KIND, name, spec)


def change(session: StoreSession, times: int = LOST_CHANGES) -> None:
    """Raise the store's revision by changes of another kind."""
    for number in range(times):
        session.store.put('others', 'any', number)


class StillLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock stands still, so that no pause ends."""

    def time(self) -> float:
        return 0


def run_until_pause(work: Coroutine[Any, Any, Any]) -> None:
    """Run a loop until it pauses between two reads."""

    async def run() -> None:
        task = asyncio.create_task(work)
        for _ in range(MAX_STEPS):
            await asyncio.sleep(0)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    with asyncio.Runner(loop_factory=StillLoop) as runner:
        runner.run(run())


def read_kind(
    session: StoreSession, board: ServingBoard, updater: updates.Updater
) -> None:
    """Have a router list a kind once."""
    client = open_store(session, board)
    reader = read_periodically(board, client, PeriodicRead(updater, 0))
    run_until_pause(reader)


def read_servers(session: StoreSession, board: ServingBoard) -> list[str]:
    """Have a router list the servers once; return the usable ones."""
    read_kind(session, board, server_entries.make_updater(board))
    return sorted(one.name for one in list_usable(board, 'lm'))


def read_after_return(session: StoreSession, board: ServingBoard) -> list[str]:
    """Have the store return, change beyond what it lost, and be listed."""
    session.store.restore()
    change(session, 2 * LOST_CHANGES)
    return read_servers(session, board)


def read_after_write(
    session: StoreSession, board: ServingBoard, **fields: Any
) -> list[str]:
    """Have server ``a`` write its entry, and a router list the servers."""
    put_server(session, 'a', **fields)
    return read_servers(session, board)
