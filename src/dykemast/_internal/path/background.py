"""Background tasks that outlive the caller's connection."""

import asyncio
from collections.abc import Coroutine
from typing import Any

_running: set[asyncio.Task[Any]] = set()


def run_in_background(work: Coroutine[Any, Any, Any]) -> None:
    """Run a coroutine to its end, even if the caller disconnects.

    :param work: the coroutine.
    """
    task = asyncio.create_task(work)
    _running.add(task)
    task.add_done_callback(_running.discard)


async def wait_for_background() -> None:
    """Wait until all background tasks are done."""
    while _running:
        await asyncio.gather(*_running, return_exceptions=True)
