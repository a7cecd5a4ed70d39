"""Supervision of background loops.

A loop that ends silently leaves a router that is ready but serves outdated
data: one entry that cannot be decoded could leave a whole fleet without backend
servers. So each failure is logged and counted, and the loop is restarted after
a delay.
"""

import asyncio
import traceback
from collections.abc import Callable, Coroutine, Iterable
from typing import Any, Final, NamedTuple

from dykemast._internal.operations.loop_health import LoopHealth
from dykemast._internal.utils.clock import read_clock

#: Innermost calls of a traceback that are logged.
MAX_LOGGED_CALLS: Final = 4


class BackgroundLoop(NamedTuple):
    """A loop that runs as long as the program does.

    :param name: name in logs.
    :param run: starts the loop; called again whenever it ends.
    """

    name: str
    run: Callable[[], Coroutine[Any, Any, Any]]


class LoopFailure(NamedTuple):
    """The end of a background loop, by an error or by a return.

    :param loop: name of the loop.
    :param reason: the error.
    :param calls: innermost calls of its traceback, with line numbers.
    :param pause: seconds until the loop is restarted.
    """

    loop: str
    reason: str
    calls: list[str]
    pause: float


LogFailure = Callable[[LoopFailure], None]


def start_loops(
    loops: Iterable[BackgroundLoop],
    health: LoopHealth,
    log_failure: LogFailure,
) -> list[asyncio.Task[None]]:
    """Start background loops, and restart each whenever it ends.

    :param loops: the loops.
    :param health: records their failures.
    :param log_failure: logs a failure.
    :returns: their tasks.
    """
    return [
        asyncio.create_task(_supervise(loop, health, log_failure))
        for loop in loops
    ]


async def _supervise(
    loop: BackgroundLoop, health: LoopHealth, log_failure: LogFailure
) -> None:
    while True:
        reason, calls = await _run_to_end(loop)
        pause = health.record_failure(loop.name, read_clock())
        log_failure(LoopFailure(loop.name, reason, calls, pause))
        await asyncio.sleep(pause)


def format_calls(error: Exception) -> list[str]:
    """List the innermost calls of the traceback of an error.

    :param error: the error.
    :returns: texts ``function:line``, innermost last.
    """
    inner = traceback.extract_tb(error.__traceback__)[-MAX_LOGGED_CALLS:]
    return [f'{one.name}:{one.lineno}' for one in inner]


async def _run_to_end(loop: BackgroundLoop) -> tuple[str, list[str]]:
    """Run a loop until it ends.

    :returns: the reason, and the innermost calls of the traceback.
    """
    try:
        await loop.run()
    except Exception as error:
        return f'{type(error).__name__}: {error}', format_calls(error)
    return 'the loop returned.', []
