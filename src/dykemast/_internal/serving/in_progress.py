"""Wait until a router has nothing in progress."""

import asyncio
import time
from typing import Final

from dykemast._internal.serving.board import ServingBoard

_POLL: Final = 0.05


async def wait_until_unused(
    board: ServingBoard,
    begin: float,
    until: float,
) -> None:
    """Wait until no request is in progress.

    :param board: the blackboard.
    :param begin: seconds before which that does not count.
    :param until: seconds until which is waited at the most.
    """
    now = time.monotonic()
    while now < until and (now < begin or board.inflight):
        await asyncio.sleep(_POLL)
        now = time.monotonic()
