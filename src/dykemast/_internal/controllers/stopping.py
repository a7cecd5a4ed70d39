"""Admission during a planned stop."""

import asyncio

from dykemast._internal.blackboard import Blackboard
from dykemast._internal.operations.planned_stop import StopPlan, plan_stop
from dykemast._internal.utils.clock import read_clock, wait_until


def begin_stop(board: Blackboard) -> StopPlan:
    """Begin a stop; callers still use cached entry responses for a while.

    :param board: shared state of the router.
    :returns: the plan, which limits admission from now on.
    """
    settings = board.settings
    kept = settings.get('keep_entry', 0)
    timeout = kept + settings.get('drain_timeout', 0)
    now = read_clock()
    plan = plan_stop(now, now, kept, timeout)
    board.traffic.leaving = True
    board.traffic.stop_plan = plan
    return plan


async def wait_until_unused(
    board: Blackboard,
    plan: StopPlan,
    hasten: asyncio.Event,
) -> None:
    """Wait until no request is in progress and none is expected.

    :param board: shared state of the router.
    :param plan: plan of the stop.
    :param hasten: set when requests in progress may be cancelled.
    """

    def is_over(now: float) -> bool:
        if hasten.is_set():
            return True
        return now > plan.advertised_until and not board.traffic.inflight

    await wait_until(is_over, plan.ends_by)


def close_admission(board: Blackboard, plan: StopPlan) -> None:
    """Admit no more requests.

    :param board: shared state of the router.
    :param plan: plan of the stop.
    """
    board.traffic.stop_plan = plan.close()
