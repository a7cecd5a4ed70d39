"""Requests in progress: admission during a stop, tracking, cancellation."""

import asyncio
import contextlib
from collections.abc import Collection, Iterator
from typing import Final

from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.requests.refusals import (
    RefusalCode,
    RefusedError,
)
from dykemast._internal.serving.requests.admitted_request import AdmittedRequest
from dykemast._internal.utils.clock import POLL_INTERVAL_S, read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('request')

#: Retry-After of a stopping router: about the time that the caller takes to
#: fetch the addresses of other routers.
STOPPING_RETRY_S: Final = 0.05


def check_stop(board: ServingBoard, admitted: AdmittedRequest) -> None:
    """Check that a request will end before this router stops.

    :param board: the blackboard.
    :param admitted: the request.
    :raises RefusedError: when the stop of this router might cancel it.
    """
    plan = board.stop_plan
    if plan is None:
        return
    now, route = admitted.started, admitted.route.name
    usual = board.usual_times.find_usual(route, now, plan.ends_by - now)
    details = plan.describe(now, admitted.deadline, usual)
    if not plan.may_admit(now, admitted.deadline, usual):
        raise RefusedError(RefusalCode.stopping, details, STOPPING_RETRY_S)
    _log('admitted_in_stop', request=admitted.request.request_id, **details)


def check_send(board: ServingBoard, admitted: AdmittedRequest) -> None:
    """Check that a request that is sent now will end before this router stops.

    :param board: the blackboard.
    :param admitted: the request.
    :raises RefusedError: when the stop of this router might cancel it.
    """
    plan = board.stop_plan
    if plan is None:
        return
    now, route = read_clock(), admitted.route.name
    usual = board.usual_times.find_usual(route, now, plan.ends_by - now)
    if not plan.can_end(now, admitted.deadline, usual):
        details = plan.describe(now, admitted.deadline, usual)
        raise RefusedError(RefusalCode.stopping, details, STOPPING_RETRY_S)


@contextlib.contextmanager
def track_body(board: ServingBoard) -> Iterator[None]:
    """Track the current task as one that reads the body of a request.

    :param board: the blackboard.
    :raises RefusedError: when the stop of this router cancels it.
    """
    task = asyncio.current_task()
    board.reading.add(task)
    try:
        yield
    except asyncio.CancelledError as error:
        raise RefusedError(
            RefusalCode.stopping, retry_after=STOPPING_RETRY_S
        ) from error
    finally:
        board.reading.discard(task)


@contextlib.contextmanager
def track_request(
    board: ServingBoard, admitted: AdmittedRequest
) -> Iterator[None]:
    """Track the current task as a request in progress.

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
        _record_end(board, admitted)


def _record_end(board: ServingBoard, admitted: AdmittedRequest) -> None:
    now = read_clock()
    board.usual_times.record_end(admitted.route.name, admitted.started, now)
    board.admission_limit.record_end(admitted.deadline, now)


async def cancel_tasks(tasks: Collection[asyncio.Task[None]]) -> None:
    """Cancel requests, so that they get a response and are billed.

    :param tasks: tasks of requests.
    """
    for task in tasks:
        task.cancel()
    if tasks:
        await asyncio.wait(tasks, timeout=POLL_INTERVAL_S)


def is_busy(board: ServingBoard) -> bool:
    """Tell whether requests of callers, here or at peers, need this router.

    Those whose bodies are still being read do not: they have not run.

    :param board: the blackboard.
    :returns: whether they do.
    """
    unread = len(board.reading)
    return board.inflight > unread or board.tunnels > 0
