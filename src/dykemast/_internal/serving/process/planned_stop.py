"""Carry out a planned stop: no request is cut off that need not be."""

import asyncio
from typing import Final

from dykemast._internal.network.listeners import close_listeners
from dykemast._internal.operations.planned_stop import (
    CLOSE_TIME,
    LAST_GIVE_BACK_TIME,
    StopPlan,
    plan_stop,
)
from dykemast._internal.serving.admission import in_progress
from dykemast._internal.serving.members import gossip, members
from dykemast._internal.serving.tokens import budget_upkeep
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.members.entry_ttl import compute_entry_ttl
from dykemast._internal.serving.tokens.ledger_writer import AWAY_PAUSE
from dykemast._internal.serving.process.runtime import Runtime
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger
from dykemast._internal.utils.waiting import wait_until

_log = make_logger('router')

#: Seconds between two tries to give tokens back: those after which the writer
#: tries again after a failure.
GIVE_BACK_PAUSE: Final = AWAY_PAUSE


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
    await wait_until(
        lambda now: now > plan.linger_until and not board.inflight,
        plan.give_back_at,
    )
    await _finish(runtime, plan)
    await close_listeners(runtime.listeners, CLOSE_TIME)
    leaving.cancel()
    _end(runtime)
    _log('stopped', inflight=board.inflight)


def _begin(board: ServingBoard) -> StopPlan:
    now = read_clock()
    since = board.watch.find_earliest(now)
    bounds = board.settings.bounds
    plan = plan_stop(now, since, compute_entry_ttl(board), bounds.stop_timeout)
    board.stopping = True
    board.stop_plan = plan
    _log(
        'stopping',
        inflight=board.inflight,
        late_s=round(now - since, 3),
        named_s=round(plan.advertised_until - now, 3),
        ends_s=round(plan.ends_by - now, 3),
    )
    return plan


async def _leave(runtime: Runtime) -> None:
    """Have other routers and entry answers leave this router out.

    Runs beside the rest: a store that does not answer must not hold up the
    stop.
    """
    board = runtime.assembly.parts.board
    await gossip.notify_all_peers(board, runtime.assembly.links.gossip)
    await members.deregister_self(board, runtime.assembly.upkeep.store)


async def _finish(runtime: Runtime, plan: StopPlan) -> None:
    """Let nothing in any more, and wait for what is in progress."""
    board = runtime.assembly.parts.board
    board.stop_plan = plan.close()
    waited_for = board.inflight
    _log('admission_closed', inflight=waited_for)
    await asyncio.gather(
        _give_back(runtime, plan.cancel_at),
        wait_until(lambda _: not board.inflight, plan.cancel_at),
    )
    await in_progress.cut_off(board)
    if waited_for:
        # What these held and did not use.
        await _give_back(runtime, read_clock() + LAST_GIVE_BACK_TIME)


async def _give_back(runtime: Runtime, until: float) -> None:
    """Give unused tokens back, and try again while there is time."""
    patience = max(0, until - read_clock())
    try:
        async with asyncio.timeout(patience):
            while not await budget_upkeep.return_spare(runtime.assembly.upkeep):
                await asyncio.sleep(GIVE_BACK_PAUSE)
    except TimeoutError:
        _log('tokens_not_given_back', tried_s=round(patience, 3))


def _end(runtime: Runtime) -> None:
    for task in runtime.tasks:
        task.cancel()
    runtime.peer_server.close()
    runtime.assembly.links.gossip.close()
