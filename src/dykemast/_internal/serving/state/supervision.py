"""Keep loops running that work for as long as the program does.

An unexpected error ended one task, and the router stayed ready and served by
what it last knew: one entry that could not be read left a fleet without any
backend server. So no loop ends silently: its error is logged and counted, it
runs again after a pause, and a router in which that does not help says that
it is not ready.
"""

import asyncio
import time
import traceback
from collections.abc import Callable, Coroutine, Iterable
from typing import Any, Final, NamedTuple

from dykemast._internal.operations.loop_health import LoopHealth
from dykemast._internal.utils.events import make_logger

_log = make_logger('loops')

#: Innermost calls of a failure that its line shows.
SHOWN_CALLS: Final = 4


class Loop(NamedTuple):
    """Work that never ends.

    :param name: what it does, for logs.
    :param run: starts it; called again when it ended.
    """

    name: str
    run: Callable[[], Coroutine[Any, Any, Any]]


async def supervise(loop: Loop, health: LoopHealth) -> None:
    """Run a loop for ever, again after each failure.

    :param loop: the loop.
    :param health: takes note of failures.
    """
    while True:
        reason = await _run_to_end(loop)
        pause = health.note_failure(loop.name, time.monotonic())
        _log(
            'loop_failed',
            loop=loop.name,
            failures=health.failures,
            pause_s=round(pause, 2),
            **reason,
        )
        await asyncio.sleep(pause)


async def _run_to_end(loop: Loop) -> dict[str, Any]:
    """Run a loop until it fails.

    :returns: why it ended.
    """
    try:
        await loop.run()
    except Exception as error:
        calls = traceback.extract_tb(error.__traceback__)[-SHOWN_CALLS:]
        return {
            'reason': f'{type(error).__name__}: {error}',
            'calls': [f'{one.name}:{one.lineno}' for one in calls],
        }
    return {'reason': 'it returned.'}


def start_loops(
    loops: Iterable[Loop],
    health: LoopHealth,
) -> list[asyncio.Task[None]]:
    """Start loops.

    :param loops: the loops.
    :param health: takes note of failures.
    :returns: their tasks.
    """
    return [asyncio.create_task(supervise(loop, health)) for loop in loops]
