"""Steps of a planned stop: who is let in, and what is waited for."""

import asyncio
import time
from typing import Final

from dykemast._internal.blackboard import Blackboard
from dykemast._internal.network.listeners import Listener
from dykemast._internal.operations.planned_stop import (
    POLL_TIME,
    StopPlan,
    plan_stop,
)

#: Seconds that listeners may take to send what was answered and to close idle
#: connections: they look each 0.1 s whether to, and wait 0.1 s.
CLOSE_TIME: Final = 1.0


def begin_stop(board: Blackboard) -> StopPlan:
    """Begin a stop: callers use kept entry answers for a while yet.

    :param board: the blackboard.
    :returns: the plan, which binds admission from now on.
    """
    settings = board.settings
    kept = settings.get('keep_entry', 0)
    timeout = kept + settings.get('drain_timeout', 0)
    now = time.monotonic()
    plan = plan_stop(now, now, kept, timeout)
    board.traffic.leaving = True
    board.traffic.stop_plan = plan
    return plan


async def wait_until_unused(
    board: Blackboard,
    plan: StopPlan,
    hasten: asyncio.Event,
) -> None:
    """Wait until no request is in progress and none is to be expected.

    :param board: the blackboard.
    :param plan: of the stop.
    :param hasten: set when requests in progress may be cut off.
    """
    while time.monotonic() < plan.cut_at and not hasten.is_set():
        is_named = time.monotonic() < plan.named_until
        if not is_named and not board.traffic.inflight:
            return
        await asyncio.sleep(POLL_TIME)


def close_admission(board: Blackboard, plan: StopPlan) -> None:
    """Let nothing in any more.

    :param board: the blackboard.
    :param plan: of the stop.
    """
    board.traffic.stop_plan = plan.close()


async def close_listeners(listeners: list[Listener]) -> None:
    """Close the connections of callers that have their answers.

    :param listeners: for callers and operators.
    """
    for listener in listeners:
        listener.should_exit = True
    ends = [one.serving for one in listeners]
    await asyncio.wait(ends, timeout=CLOSE_TIME)
