"""Work that outlives the caller's connection, e.g. a bill after a cut."""

import asyncio
from collections.abc import Coroutine
from typing import Any

_running: set[asyncio.Task[Any]] = set()


def run_in_background(work: Coroutine[Any, Any, Any]) -> None:
    """Run something to its end, whatever happens to the caller.

    :param work: what to run.
    """
    task = asyncio.create_task(work)
    _running.add(task)
    task.add_done_callback(_running.discard)


async def wait_for_background() -> None:
    """Wait until all such work is done."""
    while _running:
        await asyncio.gather(*_running, return_exceptions=True)
