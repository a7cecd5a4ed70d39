"""Keep loops running that work for as long as the program does.

An unexpected error ended one task, and the router stayed ready and served by
what it last knew: one entry that could not be read left a fleet without any
backend server. So no loop ends in silence: its error is told and counted, and
it runs again after a pause.
"""

import asyncio
import traceback
from collections.abc import Callable, Coroutine, Iterable
from typing import Any, Final, NamedTuple

from dykemast._internal.operations.loop_health import LoopHealth
from dykemast._internal.utils.clock import read_clock

#: Innermost calls of a failure that are told.
SHOWN_CALLS: Final = 4


class BackgroundLoop(NamedTuple):
    """Work that never ends.

    :param name: what it does, for logs.
    :param run: starts it; called again when it ended.
    """

    name: str
    run: Callable[[], Coroutine[Any, Any, Any]]


class LoopFailure(NamedTuple):
    """How a loop ended that should not.

    :param loop: its name.
    :param reason: the error.
    :param calls: the innermost calls that raised it, with their lines.
    :param pause: seconds until it runs again.
    """

    loop: str
    reason: str
    calls: list[str]
    pause: float


Tell = Callable[[LoopFailure], None]


def start_loops(
    loops: Iterable[BackgroundLoop],
    health: LoopHealth,
    tell: Tell,
) -> list[asyncio.Task[None]]:
    """Start loops, each to run again whenever it ends.

    :param loops: the loops.
    :param health: takes note of their ends.
    :param tell: logs them.
    :returns: their tasks.
    """
    return [
        asyncio.create_task(_supervise(loop, health, tell)) for loop in loops
    ]


async def _supervise(
    loop: BackgroundLoop, health: LoopHealth, tell: Tell
) -> None:
    while True:
        reason, calls = await _run_to_end(loop)
        pause = health.note_failure(loop.name, read_clock())
        tell(LoopFailure(loop.name, reason, calls, pause))
        await asyncio.sleep(pause)


def list_calls(error: Exception) -> list[str]:
    """List the innermost calls of a failure.

    :param error: the failure.
    :returns: names of functions and their lines.
    """
    inner = traceback.extract_tb(error.__traceback__)[-SHOWN_CALLS:]
    return [f'{one.name}:{one.lineno}' for one in inner]


async def _run_to_end(loop: BackgroundLoop) -> tuple[str, list[str]]:
    """Run a loop until it fails.

    :returns: why it ended, and in which calls.
    """
    try:
        await loop.run()
    except Exception as error:
        return f'{type(error).__name__}: {error}', list_calls(error)
    return 'it returned.', []
