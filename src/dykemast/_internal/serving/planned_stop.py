"""Carry out a planned stop: no request is cut off that need not be."""

import asyncio
import time
from typing import Final

from dykemast._internal.operations.planned_stop import StopPlan, plan_stop
from dykemast._internal.serving import budget_upkeep, gossip, members
from dykemast._internal.serving.board import ServingBoard
from dykemast._internal.serving.entry_ttl import measure_entry_ttl
from dykemast._internal.serving.idle import wait_until_unused
from dykemast._internal.serving.runtime import Runtime
from dykemast._internal.utils.events import make_logger

_log = make_logger('router')

#: Seconds that the last return of tokens may take, out of ``END_TIME``.
LAST_GIVE_BACK_TIME: Final = 0.3
#: Seconds that listeners may take to close the connections of callers: they
#: look each 0.1 s whether to, and wait 0.1 s for answers on their way.
CLOSE_TIME: Final = 0.25


async def stop_router(runtime: Runtime) -> None:
    """Stop a router without cutting off a request that can be finished.

    Callers leave first, admission closes before the end is waited for, and
    the process ends only after both: a request that is let in while nobody
    waits for it any more would be cut off.

    :param runtime: the running router.
    """
    board = runtime.assembly.parts.board
    plan = _begin(board)
    leaving = asyncio.create_task(_leave(runtime))
    await wait_until_unused(board, plan.stay_until, plan.give_back_at)
    await _finish(runtime, plan)
    await _close_listeners(runtime)
    leaving.cancel()
    _end(runtime)
    _log('stopped', inflight=board.inflight)


def _begin(board: ServingBoard) -> StopPlan:
    now = time.monotonic()
    bounds = board.settings.bounds
    plan = plan_stop(now, measure_entry_ttl(board), bounds.stop_timeout)
    board.stopping = True
    board.stop_plan = plan
    _log(
        'stopping',
        inflight=board.inflight,
        named_s=round(plan.named_until - now, 3),
        cut_s=round(plan.cut_at - now, 3),
    )
    return plan


async def _leave(runtime: Runtime) -> None:
    """Have other routers and entry answers leave this router out.

    Runs beside the rest: a store that does not answer must not hold up the
    stop.
    """
    board = runtime.assembly.parts.board
    await gossip.tell_all(board, runtime.assembly.links.gossip)
    await members.unlist_self(board, runtime.assembly.upkeep.store)


async def _finish(runtime: Runtime, plan: StopPlan) -> None:
    """Let nothing in any more, and wait for what is in progress."""
    board = runtime.assembly.parts.board
    board.stop_plan = plan.close(time.monotonic())
    _log('admission_closed', inflight=board.inflight)
    in_progress = board.inflight
    await asyncio.gather(
        _give_back(runtime, plan.cut_at),
        wait_until_unused(board, 0, plan.cut_at),
    )
    if in_progress:
        # What these held and did not use.
        await _give_back(runtime, time.monotonic() + LAST_GIVE_BACK_TIME)


async def _give_back(runtime: Runtime, until: float) -> None:
    work = asyncio.create_task(budget_upkeep.give_back(runtime.assembly.upkeep))
    patience = max(0, until - time.monotonic())
    _, late = await asyncio.wait((work,), timeout=patience)
    if late:
        work.cancel()
        _log('tokens_not_given_back', reason='the store was too slow')


async def _close_listeners(runtime: Runtime) -> None:
    """Send what was answered, and close idle connections of callers."""
    for listener in runtime.listeners:
        listener.should_exit = True
    ends = [one.serving for one in runtime.listeners]
    await asyncio.wait(ends, timeout=CLOSE_TIME)


def _end(runtime: Runtime) -> None:
    for task in runtime.tasks:
        task.cancel()
    runtime.peer_server.close()
    runtime.assembly.links.gossip.close()
