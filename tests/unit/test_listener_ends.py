"""A router with an ended listener is not ready.

If the task of a listener ends and readiness does not follow, the router stays
in entry responses while no caller can connect to it.
"""

import asyncio
import contextlib

from dykemast._internal.models.deployment import Listeners
from dykemast._internal.platform.configuration import decode_configuration
from dykemast._internal.platform.store_types import StoreObject
from dykemast._internal.serving.process import planned_stop, runtime
from dykemast._internal.serving.process.entry import is_ready
from tests.lib.serving_boards import (
    make_board,
    make_endpoint,
    mark_all_read,
)
from tests.lib.users_objects import make_configuration
from tools.polling import POLL
from tools.ports import find_ports

TIMEOUT_S = 5


async def open_router() -> runtime.Runtime:
    """Start a router with a configuration, whose store does not respond."""
    board = make_board()
    listeners = Listeners(*map(make_endpoint, find_ports(5)))
    board.settings = board.settings._replace(listeners=listeners)
    stored = StoreObject('main', 1, make_configuration())
    board.table = decode_configuration(stored)
    mark_all_read(board)
    return await runtime.open_runtime(board)


async def becomes_unready(opened: runtime.Runtime) -> bool:
    board = opened.assembly.parts.board
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(TIMEOUT_S):
            while is_ready(board):
                await asyncio.sleep(POLL)
    return not is_ready(board)


async def test_a_router_whose_listener_has_ended_is_not_ready() -> None:
    opened = await open_router()
    assert is_ready(opened.assembly.parts.board)
    opened.listeners[0].serving.cancel()
    assert await becomes_unready(opened)
    await planned_stop.stop_router(opened)


async def test_a_router_that_is_left_alone_stays_ready() -> None:
    opened = await open_router()
    assert not await becomes_unready(opened)
    await planned_stop.stop_router(opened)
    assert not opened.assembly.parts.board.loops.failures
