"""When a stopping router lets requests in, and when it ends."""

from hypothesis import given
from hypothesis import strategies as st

from dykemast._internal.operations import planned_stop
from dykemast._internal.operations.event_loop_monitor import (
    STALL_TIME,
    EventLoopMonitor,
)
from dykemast._internal.operations.route_times import SPAN_S, RouteTimes
from dykemast._internal.serving.admission.in_progress import STOPPING_RETRY
from dykemast._internal.serving.requests.refusals import (
    RefusalCode,
    RefusedError,
)

BEGAN = 100.0
TTL = 1.5
TIMEOUT = 8.0
KILLED = BEGAN + TIMEOUT

times = st.floats(0, 30)


def make_plan(late: float = 0) -> planned_stop.StopPlan:
    return planned_stop.plan_stop(BEGAN + late, BEGAN, TTL, TIMEOUT)


def test_holders_of_an_entry_answer_are_served_if_there_is_time() -> None:
    plan = make_plan()
    late = KILLED + 10
    assert plan.may_admit(BEGAN + TTL, late, usual=2)
    assert not plan.may_admit(BEGAN + TTL, late, usual=7)
    assert plan.may_admit(BEGAN + TTL, BEGAN + 4, usual=7)


def test_afterwards_only_what_ends_by_its_own_deadline_is_served() -> None:
    plan = make_plan()
    now = BEGAN + 2 * TTL
    assert not plan.may_admit(now, KILLED, usual=0)
    assert plan.may_admit(now, now + 1, usual=0)


@given(times, times)
def test_nothing_is_admitted_once_it_is_closed(
    after: float,
    patience: float,
) -> None:
    now = BEGAN + after
    plan = make_plan().close()
    assert not plan.may_admit(now, now + patience, usual=0)


@given(times, st.floats(0, 20), st.floats(0, 20))
def test_its_moments_are_in_order(
    late: float,
    ttl: float,
    timeout: float,
) -> None:
    now = BEGAN + late
    plan = planned_stop.plan_stop(now, BEGAN, ttl, timeout)
    assert max(plan.advertised_until, plan.linger_until) <= plan.ends_by
    assert now <= plan.give_back_at <= max(now, plan.ends_by)
    assert plan.ends_by <= plan.cancel_at
    assert plan.ends_by <= BEGAN + max(0, timeout - planned_stop.END_TIME)


def test_the_end_has_time_for_all_that_comes_after_the_cut() -> None:
    # A stop with a slow store was killed at its last moment, with answers
    # still to be sent: the time kept for its end was less than its parts.
    parts = (
        planned_stop.POLL_TIME,
        planned_stop.LAST_GIVE_BACK_TIME,
        planned_stop.CLOSE_TIME,
        planned_stop.EXIT_TIME,
    )
    assert make_plan().cancel_at + sum(parts) <= KILLED


def test_a_stop_that_is_seen_late_admits_by_when_it_was_ordered() -> None:
    # A router that was paused when SIGTERM came counted from when it woke,
    # and let in calls that were in progress when it was killed.
    watch = EventLoopMonitor(BEGAN)
    assert watch.find_earliest(BEGAN + 0.1) == BEGAN
    woke = BEGAN + 1.5
    assert watch.find_earliest(woke) == BEGAN
    watch.note(woke)
    assert watch.find_earliest(woke) == BEGAN
    watch.note(woke + STALL_TIME / 2)
    assert watch.find_earliest(woke + 2 * STALL_TIME) > woke
    plan = make_plan(late=1.5)
    assert not plan.may_admit(KILLED - 1, KILLED - 0.1, usual=0)
    # What was let in before may still end.
    assert plan.cancel_at > KILLED


def test_the_longest_time_of_a_route_counts_for_two_spans() -> None:
    usual = RouteTimes()
    assert usual.estimate_duration('a', 5) == 0
    usual.record('a', 3, 5)
    usual.record('a', 2, 6)
    assert usual.estimate_duration('a', 6) == 3
    assert usual.estimate_duration('b', 6) == 0
    assert usual.estimate_duration('a', SPAN_S + 6) == 3
    assert usual.estimate_duration('a', 2 * SPAN_S + 6) == 0


def test_requests_in_progress_tell_how_long_others_may_take() -> None:
    usual = RouteTimes()
    with usual.track('a', 5):
        assert usual.estimate_duration('a', 12) == 7
        assert usual.estimate_duration('b', 12) == 0
    assert usual.estimate_duration('a', 12) == 0


def test_a_refusal_of_a_stopping_router_sends_callers_elsewhere() -> None:
    error = RefusedError(RefusalCode.stopping, retry_after=STOPPING_RETRY)
    headers, _ = error.encode()
    assert dict(headers)[b'retry-after'] == b'0.05'
    assert error.code.value.status == 503
