"""The limit of the requests in progress follows what the link carries."""

import math

from dykemast._internal.operations.admission_limit import (
    LOWER_FACTOR,
    MAX_STEPS,
    MIN_LIMIT,
    RAISE_STEP,
    REVIEW_INTERVAL_S,
    AdmissionLimit,
)
from tests.lib.full_link import (
    ARRIVING_PER_S,
    CARRIED_PER_S,
    SECONDS,
    FullLink,
)

#: Requests in progress, and those of them that end.
IN_PROGRESS = 40
ENDED = 10
#: Seconds that an exchange takes on links that are full, and that are not.
FULL_S = 0.15
FREE_S = 0.001


def make_limit(*, late: int, exchange_s: float) -> AdmissionLimit:
    """Make the limit of a router by what it observed at 1 s."""
    limit = AdmissionLimit()
    limit.record_exchange(exchange_s, 1)
    for number in range(ENDED):
        limit.record_end(1 if number < late else 9, 1)
    return limit


def review(limit: AdmissionLimit, now: float, in_progress: int) -> float:
    """Have a request arrive; returns the limit."""
    limit.admits(in_progress, now)
    return limit.limit


def find_limit(*, late: int, exchange_s: float) -> float:
    limit = make_limit(late=late, exchange_s=exchange_s)
    return review(limit, 1, IN_PROGRESS)


def test_without_late_requests_there_is_no_limit() -> None:
    assert find_limit(late=0, exchange_s=FULL_S) == math.inf


def test_late_requests_on_a_full_link_lower_the_limit() -> None:
    assert find_limit(late=5, exchange_s=FULL_S) == LOWER_FACTOR * IN_PROGRESS


def test_a_few_late_requests_lower_no_limit() -> None:
    assert find_limit(late=2, exchange_s=FULL_S) == math.inf


def test_late_requests_on_a_free_link_lower_no_limit() -> None:
    assert find_limit(late=5, exchange_s=FREE_S) == math.inf


def test_a_router_without_exchanges_has_no_limit() -> None:
    limit = AdmissionLimit()
    for _ in range(ENDED):
        limit.record_end(1, 1)
    assert review(limit, 1, IN_PROGRESS) == math.inf


def test_the_limit_is_never_too_low_to_learn_from() -> None:
    limit = make_limit(late=ENDED, exchange_s=FULL_S)
    for step in range(3):
        assert review(limit, 1 + step * REVIEW_INTERVAL_S, 1) == MIN_LIMIT


def test_the_limit_rises_slowly_while_the_link_is_full() -> None:
    limit = make_limit(late=5, exchange_s=FULL_S)
    lowered = review(limit, 1, IN_PROGRESS)
    limit.record_exchange(FULL_S, 3)
    limit.record_end(9, 3)
    steps = (3 - 1) / REVIEW_INTERVAL_S
    assert review(limit, 3, IN_PROGRESS) == lowered + RAISE_STEP * steps


def test_the_limit_ends_after_a_time_without_requests() -> None:
    limit = make_limit(late=5, exchange_s=FULL_S)
    assert review(limit, 1, IN_PROGRESS) < math.inf
    quiet_s = MAX_STEPS * REVIEW_INTERVAL_S
    assert review(limit, 1 + quiet_s, 0) == math.inf


def test_a_full_link_serves_most_of_what_it_carries() -> None:
    callers = FullLink(limited=True).run()
    carried = CARRIED_PER_S * SECONDS
    assert callers.served >= carried / 2, callers
    assert callers.late <= ARRIVING_PER_S * SECONDS / 10, callers


def test_without_the_limit_callers_of_a_full_link_are_late() -> None:
    # The simulation has to show the fault that the limit prevents.
    callers = FullLink(limited=False).run()
    assert callers.late >= ARRIVING_PER_S * SECONDS * 4 / 5, callers
