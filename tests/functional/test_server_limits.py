"""The rate limit of a server holds over all routers, for sends and resumes."""

import time
from types import MappingProxyType

from tests.lib.crowd import (
    Ask,
    ask_all,
    ask_price,
    ask_stream,
    check_refusals,
    count_busiest_window,
    start_with_large_budget,
)
from tests.lib.deployment import Deployment

#: Requests per second that a server allows, time from its first response until
#: the limit is in force, and the window in which arrivals are counted.
LIMIT_PER_S = 1.8
LIMIT_IN_FORCE_S = 3.0
WINDOW_S = 4.0
#: Requests that users allow in such a window.
MAX_REQUESTS = 1.5 * LIMIT_PER_S * WINDOW_S + 5
FIELDS = MappingProxyType({'server-limit': str(LIMIT_PER_S)})
#: Time for which callers send requests.
REQUESTS_S = LIMIT_IN_FORCE_S + WINDOW_S + 0.5


def count_busiest_under_limit(
    deployment: Deployment, server: str, ask: Ask
) -> int:
    """Count a server's arrivals in the busiest window under its limit."""
    deployment.control(server, fields=dict(FIELDS))
    since = time.monotonic() + LIMIT_IN_FORCE_S
    ask_all(deployment, ask, REQUESTS_S)
    return count_busiest_window(deployment, server, since, WINDOW_S)


def test_a_servers_limit_is_not_exceeded_by_all_routers_together() -> None:
    deployment = start_with_large_budget(3, 3)
    most = count_busiest_under_limit(deployment, 'engine-2', ask_stream)
    assert 0 < most <= MAX_REQUESTS
    # The other servers get the requests beyond its limit.
    assert (
        count_busiest_window(deployment, 'engine-0', 0, WINDOW_S) > MAX_REQUESTS
    )
    deployment.stop()


def test_resumed_streams_do_not_exceed_a_servers_limit() -> None:
    deployment = start_with_large_budget(3, 3)
    for server in ('engine-0', 'engine-1'):
        deployment.control(server, fault='cut')
    assert (
        count_busiest_under_limit(deployment, 'engine-2', ask_stream)
        <= MAX_REQUESTS
    )
    deployment.stop()


def test_more_than_the_only_server_takes_is_refused_at_once() -> None:
    deployment = start_with_large_budget(3, 1)
    deployment.control('plain-0', fields=dict(FIELDS))
    since = time.monotonic() + LIMIT_IN_FORCE_S
    asked = ask_all(deployment, ask_price, REQUESTS_S)
    assert (
        0
        < count_busiest_window(deployment, 'plain-0', since, WINDOW_S)
        <= MAX_REQUESTS
    )
    check_refusals(asked)
    deployment.stop()


def test_a_limit_that_is_over_holds_no_router_back() -> None:
    deployment = start_with_large_budget(3, 3)
    deployment.control('engine-2', fields=dict(FIELDS))
    ask_all(deployment, ask_stream, 2)
    deployment.control('engine-2', fields={})
    # All routers know that the limit is gone after one share period and one
    # gossip round.
    ask_all(deployment, ask_stream, 2)
    since = time.monotonic()
    ask_all(deployment, ask_stream, WINDOW_S)
    assert (
        count_busiest_window(deployment, 'engine-2', since, WINDOW_S)
        > MAX_REQUESTS
    )
    deployment.stop()
