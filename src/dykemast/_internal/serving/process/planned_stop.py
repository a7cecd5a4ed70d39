"""Planned stop of a router that lets requests in progress finish."""

import asyncio
from typing import Any, Final

from dykemast._internal.network.listeners import close_listeners
from dykemast._internal.operations.planned_stop import (
    CLOSE_TIME_S,
    LAST_RETURN_TIME_S,
    StopPlan,
    plan_stop,
)
from dykemast._internal.serving.admission import in_progress
from dykemast._internal.serving.members import gossip, members
from dykemast._internal.serving.tokens import budget_upkeep
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.members.own_entry import compute_entry_ttl
from dykemast._internal.serving.tokens.ledger_writer import AWAY_PAUSE
from dykemast._internal.serving.process.runtime import Runtime
from dykemast._internal.utils.clock import read_clock, wait_until
from dykemast._internal.utils.events import make_logger

_log = make_logger('router')

#: The ledger writer itself retries no sooner after a failure.
RETURN_RETRY_S: Final = AWAY_PAUSE


async def stop_router(runtime: Runtime) -> None:
    """Stop a router without cancelling a request that can finish in time.

    Callers are sent elsewhere first, then admission closes, and only then the
    router waits for the last requests: one that is admitted after that wait
    would be cancelled.

    :param runtime: the running router.
    """
    board = runtime.assembly.parts.board
    plan = _begin(board)
    unlisting = asyncio.create_task(_unlist(runtime))
    await wait_until(
        lambda now: now > plan.linger_until and not in_progress.is_busy(board),
        plan.return_tokens_at,
    )
    await _finish(runtime, plan)
    await close_listeners(runtime.listeners, CLOSE_TIME_S)
    unlisting.cancel()
    _end(runtime)
    _log(
        'stopped',
        **_describe_unfinished(board),
        after_cut_s=round(read_clock() - plan.ends_by, 3),
    )


def _begin(board: ServingBoard) -> StopPlan:
    now = read_clock()
    since = board.watch.find_earliest_arrival(now)
    bounds = board.settings.bounds
    plan = plan_stop(now, since, compute_entry_ttl(board), bounds.stop_timeout)
    board.stopping = True
    board.stop_plan = plan
    _log(
        'stopping',
        **_describe_unfinished(board),
        late_s=round(now - since, 3),
        named_s=round(plan.advertised_until - now, 3),
        ends_s=round(plan.ends_by - now, 3),
    )
    return plan


async def _unlist(runtime: Runtime) -> None:
    """Have other routers remove this router from their entry responses.

    Runs concurrently: a store that does not respond must not delay the stop.
    """
    board = runtime.assembly.parts.board
    await gossip.notify_all_peers(board, runtime.assembly.links.gossip)
    await members.deregister_self(board, runtime.assembly.upkeep.store)


async def _finish(runtime: Runtime, plan: StopPlan) -> None:
    """Close admission, and wait for the requests in progress."""
    board = runtime.assembly.parts.board
    board.stop_plan = plan.close()
    await in_progress.cancel_tasks(board.reading.copy())
    waited_for = board.inflight
    _log('admission_closed', **_describe_unfinished(board))
    await asyncio.gather(
        _return_tokens(runtime, plan.ends_by),
        wait_until(lambda _: not in_progress.is_busy(board), plan.ends_by),
    )
    if in_progress.is_busy(board):
        _log('stop_cuts', **_describe_unfinished(board))
    await in_progress.cancel_tasks(board.tasks | board.reading)
    if waited_for:
        # Unused tokens that these requests had reserved.
        await _return_tokens(runtime, read_clock() + LAST_RETURN_TIME_S)


async def _return_tokens(runtime: Runtime, until: float) -> None:
    """Return unused tokens, with retries until a point in time."""
    timeout_s = max(0, until - read_clock())
    try:
        async with asyncio.timeout(timeout_s):
            while not await budget_upkeep.return_spare(runtime.assembly.upkeep):
                await asyncio.sleep(RETURN_RETRY_S)
    except TimeoutError:
        _log('tokens_not_given_back', tried_s=round(timeout_s, 3))


def _end(runtime: Runtime) -> None:
    for task in runtime.tasks:
        task.cancel()
    runtime.peer_server.close()
    if runtime.tunnel_server:
        runtime.tunnel_server.close()
    runtime.assembly.links.gossip.close()


def _describe_unfinished(board: ServingBoard) -> dict[str, Any]:
    """Count what a stop waits for, as log fields.

    :param board: the blackboard.
    :returns: requests in progress, those of them whose bodies are still being
        read, and open tunnels of other routers.
    """
    return {
        'inflight': board.inflight,
        'reading': len(board.reading),
        'tunnels': board.tunnels,
    }
