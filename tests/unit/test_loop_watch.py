"""Lag of the event loop."""

from dykemast._internal.operations.event_loop_monitor import (
    MAX_OVERRUN_S,
    SMOOTHING,
    RECORD_INTERVAL_S,
    EventLoopMonitor,
)

BEGAN = 100.0
NO_LAG_S = 0.001
SMALL_LAG_S = 0.1
LARGE_LAG_S = 0.25


def run_late(
    watch: EventLoopMonitor, began: float, late: float, records: int
) -> float:
    """Record a loop that is late each time; return the last record's time."""
    now = began
    for _ in range(records):
        now += RECORD_INTERVAL_S + late
        watch.note(now)
    return now


def test_a_loop_in_time_is_not_late() -> None:
    watch = EventLoopMonitor(BEGAN)
    now = run_late(watch, BEGAN, 0, 50)
    assert watch.measure_lateness(now) < NO_LAG_S


def test_a_loop_that_is_late_each_time_is_known_within_two_seconds() -> None:
    watch = EventLoopMonitor(BEGAN)
    now = run_late(watch, BEGAN, 0.4, 4)
    assert LARGE_LAG_S < watch.measure_lateness(now)
    assert watch.is_overloaded(now)
    assert now - BEGAN <= 2


def test_a_stalled_loop_is_late_before_its_next_record() -> None:
    watch = EventLoopMonitor(BEGAN)
    assert watch.measure_lateness(BEGAN + RECORD_INTERVAL_S + 1) > SMALL_LAG_S
    now = run_late(watch, BEGAN, 1, 1)
    assert watch.is_overloaded(now + RECORD_INTERVAL_S + 1)


def test_one_long_pause_is_forgotten_after_some_records() -> None:
    # A process that was paused for long is not short of processor time.
    watch = EventLoopMonitor(BEGAN)
    now = run_late(watch, BEGAN, 30, 1)
    assert watch.measure_lateness(now) <= SMOOTHING * MAX_OVERRUN_S
    assert not watch.is_overloaded(now)
    now = run_late(watch, now, 0, 4)
    assert watch.measure_lateness(now) < SMALL_LAG_S
