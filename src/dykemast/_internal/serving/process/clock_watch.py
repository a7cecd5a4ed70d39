"""Watch whether the event loop is late, and whether the machine slept."""

import asyncio
from typing import Final

from dykemast._internal.operations.event_loop_monitor import WATCH_PAUSE
from dykemast._internal.serving.knowledge.ages import compute_ages
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import (
    COUNTS_SUSPENSION,
    read_asleep,
    read_clock,
)
from dykemast._internal.utils.events import make_logger

_log = make_logger('router')

#: Seconds of lateness of the loop that are told, and between two such lines.
TOLD_LATENESS: Final = 0.15
LATE_PAUSE: Final = 1.0
#: Seconds by which two readings of clocks may be off.
MIN_SUSPENSION: Final = 0.05


async def watch_clock(board: ServingBoard) -> None:
    """Note when the loop runs, and tell what kept it from that, for ever.

    :param board: the blackboard.
    """
    if not COUNTS_SUSPENSION:
        _log('suspensions_not_counted', reason='no clock counts them here')
    told_at = float()
    asleep = read_asleep()
    while True:
        now = read_clock()
        board.watch.note(now)
        asleep = _tell_suspension(board, asleep)
        lateness = board.watch.measure_lateness(now)
        if lateness > TOLD_LATENESS and now > told_at + LATE_PAUSE:
            told_at = now
            _tell_late(board, lateness)
        await asyncio.sleep(WATCH_PAUSE)


def _tell_suspension(board: ServingBoard, before: float) -> float:
    """Tell of a suspension since the last look.

    What was known before is older by that, and decides nothing once it is too
    old, as all ages are read from the clock that counts it.

    :returns: seconds asleep until now.
    """
    asleep = read_asleep()
    slept = asleep - before
    if slept > MIN_SUSPENSION:
        ages = compute_ages(board)
        _log(
            'suspended',
            asleep_s=round(slept, 3),
            inflight=board.inflight,
            ages={kind: round(age, 3) for kind, age in ages.items()},
        )
    return asleep


def _tell_late(board: ServingBoard, lateness: float) -> None:
    ages = compute_ages(board)
    _log(
        'loop_late',
        late_s=round(lateness, 3),
        inflight=board.inflight,
        ages={kind: round(age, 3) for kind, age in ages.items()},
    )
