"""Run the background loops of a router."""

import asyncio
from functools import partial

import logbook

from dykemast._internal.controllers.assembly import Assembly
from dykemast._internal.network.listeners import watch_listeners
from dykemast._internal.network.listeners import Listener
from dykemast._internal.utils.supervision import (
    BackgroundLoop,
    LoopFailure,
    start_loops,
)

_log = logbook.Logger('loops')


def run_loops(
    assembly: Assembly,
    listeners: list[Listener],
) -> list[asyncio.Task[None]]:
    """Run the background loops, restarting each when it ends.

    :param assembly: components of the router.
    :param listeners: its listeners, watched by one more loop.
    :returns: the tasks.
    """
    watch = BackgroundLoop(
        'watch_listeners', partial(watch_listeners, listeners)
    )
    loops = [
        BackgroundLoop(run.__qualname__, run) for run in assembly.list_loops()
    ]
    return start_loops([*loops, watch], assembly.parts.board.loops, _log_end)


def _log_end(end: LoopFailure) -> None:
    _log.error(
        'loops: {} failed; restarting in {:.1f} s: {} in {}',
        end.loop,
        end.pause,
        end.reason,
        ', '.join(end.calls),
    )
