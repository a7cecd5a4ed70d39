"""When a stopping router lets requests in, and when it ends."""

from hypothesis import given
from hypothesis import strategies as st

from dykemast._internal.operations.planned_stop import END_TIME, plan_stop
from dykemast._internal.operations.route_times import SPAN, RouteTimes
from dykemast._internal.serving.admission import STOPPING_RETRY
from dykemast._internal.serving.refusals import RefusalCode, RefusedError

BEGAN = 100.0
TTL = 1.5
TIMEOUT = 8.0
KILLED = BEGAN + TIMEOUT

times = st.floats(0, 30)


def test_holders_of_an_entry_answer_are_served_if_there_is_time() -> None:
    plan = plan_stop(BEGAN, TTL, TIMEOUT)
    late = KILLED + 10
    assert plan.may_admit(BEGAN + TTL, late, usual=2)
    assert not plan.may_admit(BEGAN + TTL, late, usual=7)
    assert plan.may_admit(BEGAN + TTL, BEGAN + 4, usual=7)


def test_afterwards_only_what_ends_by_its_own_deadline_is_served() -> None:
    plan = plan_stop(BEGAN, TTL, TIMEOUT)
    now = BEGAN + 2 * TTL
    assert not plan.may_admit(now, KILLED, usual=0)
    assert plan.may_admit(now, now + 1, usual=0)


@given(times, times, times)
def test_nothing_is_admitted_once_it_is_closed(
    after: float,
    since: float,
    patience: float,
) -> None:
    closed_at = BEGAN + after
    plan = plan_stop(BEGAN, TTL, TIMEOUT).close(closed_at)
    now = closed_at + since
    assert not plan.may_admit(now, now + patience + 1e-3, usual=0)


@given(st.floats(0, 20), st.floats(0, 20))
def test_its_moments_are_in_order(ttl: float, timeout: float) -> None:
    plan = plan_stop(BEGAN, ttl, timeout)
    assert BEGAN <= plan.give_back_at <= plan.cut_at
    assert plan.named_until <= plan.cut_at
    assert plan.stay_until <= plan.cut_at <= BEGAN + max(0, timeout - END_TIME)


def test_the_longest_time_of_a_route_counts_for_two_spans() -> None:
    times_by_route = RouteTimes()
    assert times_by_route.measure('a', 5) == 0
    times_by_route.note('a', 3, 5)
    times_by_route.note('a', 2, 6)
    assert times_by_route.measure('a', 6) == 3
    assert times_by_route.measure('b', 6) == 0
    assert times_by_route.measure('a', SPAN + 6) == 3
    assert times_by_route.measure('a', 2 * SPAN + 6) == 0


def test_a_refusal_of_a_stopping_router_sends_callers_elsewhere() -> None:
    error = RefusedError(RefusalCode.stopping, retry_after=STOPPING_RETRY)
    headers, _ = error.encode()
    assert dict(headers)[b'retry-after'] == b'0.05'
    assert error.code.value.status == 503
