"""Detection of event loop lag and of suspensions of the machine."""

import asyncio
from typing import Final

from dykemast._internal.operations.event_loop_monitor import RECORD_INTERVAL_S
from dykemast._internal.serving.knowledge.cache_freshness import compute_ages
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import (
    COUNTS_SUSPENSION,
    read_suspended_time,
    read_clock,
)
from dykemast._internal.utils.events import make_logger

_log = make_logger('router')

#: Event loop lag that is logged, and the minimum interval between such lines.
LOGGED_LATENESS_S: Final = 0.15
LATENESS_LOG_INTERVAL_S: Final = 1.0
#: Shorter differences may come from reading two clocks one after the other.
MIN_SUSPENSION_S: Final = 0.05


async def watch_clock(board: ServingBoard) -> None:
    """Record that the event loop runs, and log what stalls it, for ever.

    :param board: the blackboard.
    """
    if not COUNTS_SUSPENSION:
        _log(
            'suspensions_not_counted',
            reason='this platform has no CLOCK_BOOTTIME',
        )
    logged_at = float()
    suspended_s = read_suspended_time()
    while True:
        now = read_clock()
        board.watch.note(now)
        suspended_s = _log_suspension(board, suspended_s)
        lateness = board.watch.measure_lateness(now)
        if (
            lateness > LOGGED_LATENESS_S
            and now > logged_at + LATENESS_LOG_INTERVAL_S
        ):
            logged_at = now
            _log_lateness(board, lateness)
        await asyncio.sleep(RECORD_INTERVAL_S)


def _log_suspension(board: ServingBoard, before: float) -> float:
    """Log a suspension of the machine since the last call.

    Ages of cached data need no correction: they are read from a clock that
    counts the time of a suspension.

    :returns: total seconds of suspension until now.
    """
    suspended_s = read_suspended_time()
    last_suspension_s = suspended_s - before
    if last_suspension_s > MIN_SUSPENSION_S:
        ages = compute_ages(board)
        _log(
            'suspended',
            asleep_s=round(last_suspension_s, 3),
            inflight=board.inflight,
            ages={kind: round(age, 3) for kind, age in ages.items()},
        )
    return suspended_s


def _log_lateness(board: ServingBoard, lateness: float) -> None:
    ages = compute_ages(board)
    _log(
        'loop_late',
        late_s=round(lateness, 3),
        inflight=board.inflight,
        ages={kind: round(age, 3) for kind, age in ages.items()},
    )
