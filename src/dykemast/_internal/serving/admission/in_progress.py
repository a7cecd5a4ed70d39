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
from dykemast._internal.serving.requests.ticket import Ticket
from dykemast._internal.utils.waiting import POLL_TIME


#: Seconds after which a caller may come back to another router when this one
#: is stopping: about the time that a new entry answer takes.
STOPPING_RETRY: Final = 0.05


def check_stop(board: ServingBoard, ticket: Ticket) -> None:
    """Check that a request will end before this router.

    :param board: the blackboard.
    :param ticket: the request.
    :raises RefusedError: when this router is stopping and might cut it off.
    """
    plan = board.stop_plan
    if plan is None:
        return
    usual = board.usual_times.estimate_duration(
        ticket.route.name, ticket.started
    )
    if plan.may_admit(ticket.started, ticket.deadline, usual):
        return
    details = {
        'left_s': round(ticket.deadline - ticket.started, 3),
        'usual_s': round(usual, 3),
        'router_left_s': round(plan.cut_at - ticket.started, 3),
    }
    raise RefusedError(RefusalCode.stopping, details, STOPPING_RETRY)


@contextlib.contextmanager
def count_running(board: ServingBoard, ticket: Ticket) -> Iterator[None]:
    """Count the current task as a request in progress.

    :param board: the blackboard.
    :param ticket: the request.
    """
    task = asyncio.current_task()
    board.tasks.add(task)
    try:
        with board.usual_times.track(ticket.route.name, ticket.started):
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
