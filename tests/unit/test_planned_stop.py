"""Until when a stopping router admits requests, and when it exits."""

from hypothesis import given
from hypothesis import strategies as st

from dykemast._internal.operations import planned_stop
from dykemast._internal.operations.event_loop_monitor import (
    STALL_TIME_S,
    EventLoopMonitor,
)
from dykemast._internal.operations.route_times import SPAN_S, RouteTimes
from dykemast._internal.serving.admission.in_progress import STOPPING_RETRY_S
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


def test_holders_of_an_entry_response_are_served_if_there_is_time() -> None:
    plan = make_plan()
    late = KILLED + 10
    assert plan.may_admit(BEGAN + TTL, late, usual=2)
    assert not plan.may_admit(BEGAN + TTL, late, usual=7)
    assert plan.may_admit(BEGAN + TTL, BEGAN + 4, usual=7)


def test_streams_that_take_longer_than_those_before_are_not_cut() -> None:
    plan = make_plan()
    now = plan.ends_by - 3.4
    plan = plan._replace(advertised_until=now + 1)
    assert not plan.may_admit(now, KILLED + 10, usual=3.1)
    assert not plan.can_end(now, KILLED + 10, usual=3.1)
    assert plan.may_admit(now, KILLED + 10, usual=2)


def test_afterwards_only_what_ends_by_its_own_deadline_is_served() -> None:
    plan = make_plan()
    now = BEGAN + 2 * TTL
    assert not plan.may_admit(now, KILLED, usual=0)
    assert plan.may_admit(now, now + 1, usual=0)


@given(times, times)
def test_nothing_is_admitted_once_it_is_closed(
    after: float,
    time_left: float,
) -> None:
    now = BEGAN + after
    plan = make_plan().close()
    assert not plan.may_admit(now, now + time_left, usual=0)


@given(times, st.floats(0, 20), st.floats(0, 20))
def test_a_stop_seen_late_is_over_before_the_kill(
    late: float,
    ttl: float,
    timeout: float,
) -> None:
    # If the stop were counted from when it is seen, a router that was paused
    # would be killed with requests in progress, and without a response to them.
    plan = planned_stop.plan_stop(BEGAN + late, BEGAN, ttl, timeout)
    over_by = BEGAN + max(0, timeout - planned_stop.END_TIME_S)
    assert plan.ends_by <= over_by


@given(times, st.floats(0, 20), st.floats(0, 20))
def test_the_times_of_a_plan_are_in_order(
    late: float,
    ttl: float,
    timeout: float,
) -> None:
    now = BEGAN + late
    plan = planned_stop.plan_stop(now, BEGAN, ttl, timeout)
    assert max(plan.advertised_until, plan.linger_until) <= plan.ends_by
    assert now <= plan.return_tokens_at <= max(now, plan.ends_by)
    assert plan.ends_by <= BEGAN + max(0, timeout - planned_stop.END_TIME_S)


def test_the_end_has_time_for_all_that_follows_the_cancellation() -> None:
    # If the time reserved for the end is less than the sum of its steps, a
    # router with a slow store is killed with responses still to be sent.
    parts = (
        planned_stop.POLL_INTERVAL_S,
        planned_stop.LAST_RETURN_TIME_S,
        planned_stop.CLOSE_TIME_S,
        planned_stop.EXIT_TIME_S,
    )
    assert make_plan().ends_by + sum(parts) <= KILLED


def test_a_stop_that_is_seen_late_admits_by_when_it_was_ordered() -> None:
    # A router that is paused when SIGTERM arrives must not count from its
    # resumption: requests it admits would be in progress when it is killed.
    watch = EventLoopMonitor(BEGAN)
    assert watch.find_earliest_arrival(BEGAN + 0.1) == BEGAN
    resumed_at = BEGAN + 1.5
    assert watch.find_earliest_arrival(resumed_at) == BEGAN
    watch.note(resumed_at)
    assert watch.find_earliest_arrival(resumed_at) == BEGAN
    watch.note(resumed_at + STALL_TIME_S / 2)
    assert (
        watch.find_earliest_arrival(resumed_at + 2 * STALL_TIME_S) > resumed_at
    )
    plan = make_plan(late=1.5)
    assert not plan.may_admit(KILLED - 1, KILLED - 0.1, usual=0)
    # Nor must those that it admitted before.
    assert plan.ends_by + planned_stop.END_TIME_S <= KILLED


def test_the_longest_time_of_a_route_counts_for_two_spans() -> None:
    usual = RouteTimes()
    assert usual.estimate_duration('a', 5) == 0
    usual.record('a', 3, 5)
    usual.record('a', 2, 6)
    assert usual.estimate_duration('a', 6) == 3
    assert usual.estimate_duration('b', 6) == 0
    assert usual.estimate_duration('a', SPAN_S + 6) == 3
    assert usual.estimate_duration('a', 2 * SPAN_S + 6) == 0


def test_requests_in_progress_count_for_the_typical_duration() -> None:
    usual = RouteTimes()
    with usual.track('a', 5):
        assert usual.estimate_duration('a', 12) == 7
        assert usual.estimate_duration('b', 12) == 0
    assert usual.estimate_duration('a', 12) == 0


def test_a_refusal_of_a_stopping_router_sends_callers_elsewhere() -> None:
    error = RefusedError(RefusalCode.stopping, retry_after=STOPPING_RETRY_S)
    headers, _ = error.encode()
    assert dict(headers)[b'retry-after'] == b'0.05'
    assert error.code.value.status == 503
