"""Servers that refuse a request with a backoff get no requests during it.

A backoff applies to the router that receives it, so there is only one.
"""

import time

from tests.lib.crowd import (
    Ask,
    Asked,
    ask_all,
    ask_price,
    ask_stream,
    check_refusals,
    start_with_large_budget,
)
from tests.lib.deployment import Deployment

#: Backoff that servers ask for, time until the router observes it, and
#: requests that it may send nevertheless.
BACKOFF_S = 2.5
BACKOFF_IN_FORCE_S = 0.5
MAX_REQUESTS = 2


def ask_for_backoff(deployment: Deployment, *servers: str) -> None:
    for server in servers:
        fields = {'retry-after': str(BACKOFF_S)}
        deployment.control(server, fault='shed', fields=fields)


def end_rest(deployment: Deployment, *servers: str) -> None:
    for server in servers:
        deployment.control(server, fault='', fields={})


def count_early(deployment: Deployment, server: str, since: float) -> int:
    """Count the arrivals within the backoff caused by the first arrival."""
    arrivals = deployment.control(server)['arrivals']
    times = sorted(at for _, at in arrivals if at > since)
    first = times[0]
    return sum(
        first + BACKOFF_IN_FORCE_S < at < first + BACKOFF_S for at in times
    )


def send_during_backoff(
    deployment: Deployment, ask: Ask, *servers: str
) -> list[Asked]:
    """Send requests during backoffs; check that servers get none."""
    ask_for_backoff(deployment, *servers)
    since = time.monotonic()
    asked = ask_all(deployment, ask, BACKOFF_S)
    for server in servers:
        assert count_early(deployment, server, since) <= MAX_REQUESTS, server
    return asked


def test_a_server_gets_no_requests_during_its_backoff() -> None:
    deployment = start_with_large_budget(1, 2)
    asked = send_during_backoff(deployment, ask_stream, 'engine-1')
    assert {one.reply.status for one in asked} == {200}
    end_rest(deployment, 'engine-1')
    time.sleep(BACKOFF_S)
    asked = ask_all(deployment, ask_stream, 1)
    assert any(b'engine-1' in one.reply.body for one in asked)
    deployment.stop()


def test_streams_are_not_resumed_at_a_server_during_its_backoff() -> None:
    deployment = start_with_large_budget(1, 3)
    for server in ('engine-0', 'engine-2'):
        deployment.control(server, fault='cut')
    send_during_backoff(deployment, ask_stream, 'engine-1')
    deployment.stop()


def test_requests_are_refused_at_once_during_backoffs_of_all_servers() -> None:
    deployment = start_with_large_budget(1, 1)
    asked = send_during_backoff(deployment, ask_price, 'plain-0')
    check_refusals(asked)
    end_rest(deployment, 'plain-0')
    # A caller that retries after Retry-After is served.
    last = max(asked, key=lambda one: one.at)
    time.sleep(float(last.reply.headers['retry-after']))
    assert ask_price(deployment, 'node-0').status == 200
    deployment.stop()
