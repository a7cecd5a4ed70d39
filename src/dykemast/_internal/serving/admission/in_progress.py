"""Requests in progress: let in, counted, cut off."""

import asyncio
import contextlib
from collections.abc import Iterator
from typing import Final

from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.requests.refusals import (
    RefusalCode,
    RefusedError,
)
from dykemast._internal.serving.requests.admitted_request import AdmittedRequest
from dykemast._internal.utils.waiting import POLL_TIME


#: Seconds after which a caller may come back to another router when this one
#: is stopping: about the time that a new entry answer takes.
STOPPING_RETRY: Final = 0.05


def check_stop(board: ServingBoard, admitted: AdmittedRequest) -> None:
    """Check that a request will end before this router.

    :param board: the blackboard.
    :param admitted: the request.
    :raises RefusedError: when this router is stopping and might cut it off.
    """
    plan = board.stop_plan
    if plan is None:
        return
    usual = board.usual_times.estimate_duration(
        admitted.route.name, admitted.started
    )
    if plan.may_admit(admitted.started, admitted.deadline, usual):
        return
    details = {
        'left_s': round(admitted.deadline - admitted.started, 3),
        'usual_s': round(usual, 3),
        'router_left_s': round(plan.cancel_at - admitted.started, 3),
    }
    raise RefusedError(RefusalCode.stopping, details, STOPPING_RETRY)


@contextlib.contextmanager
def count_running(
    board: ServingBoard, admitted: AdmittedRequest
) -> Iterator[None]:
    """Count the current task as a request in progress.

    :param board: the blackboard.
    :param admitted: the request.
    """
    task = asyncio.current_task()
    board.tasks.add(task)
    try:
        with board.usual_times.track(admitted.route.name, admitted.started):
            yield
    finally:
        board.tasks.discard(task)


async def cut_off(board: ServingBoard) -> None:
    """End what is in progress, so that it is answered and accounted for.

    :param board: the blackboard.
    """
    for task in board.tasks:
        task.cancel()
    if board.tasks:
        await asyncio.wait(board.tasks, timeout=POLL_TIME)
