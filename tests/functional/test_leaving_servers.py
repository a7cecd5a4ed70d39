"""A server that announces in its responses that it leaves gets no new requests.

Its entry may change much later, as when the store is unavailable.
"""

import time
from collections import Counter

from tests.lib.crowd import (
    ask_all,
    ask_price,
    ask_stream,
    check_refusals,
    start_with_large_budget,
)
from tests.lib.deployment import Deployment
from tests.lib.users_objects import make_next_start

#: Time after which a leaving server gets no new requests.
LEAVING_IN_FORCE_S = 2.0
REQUESTS_S = 2.0


def say_leaving(deployment: Deployment, server: str) -> None:
    deployment.control(server, fields={'server-leaving': '1'})


def count_late(deployment: Deployment, server: str, since: float) -> int:
    arrivals = deployment.control(server)['arrivals']
    return sum(at > since + LEAVING_IN_FORCE_S for _, at in arrivals)


def test_a_server_that_says_that_it_leaves_gets_nothing_new() -> None:
    deployment = start_with_large_budget(3, 2)
    say_leaving(deployment, 'engine-1')
    since = time.monotonic()
    asked = ask_all(deployment, ask_stream, LEAVING_IN_FORCE_S + REQUESTS_S)
    late = count_late(deployment, 'engine-1', since)
    statuses = Counter(one.reply.status for one in asked)
    assert not late, f'{late} of {len(asked)}'
    assert set(statuses) == {200}, statuses
    deployment.stop()


def test_resumed_streams_do_not_go_to_a_server_that_leaves() -> None:
    deployment = start_with_large_budget(3, 3)
    say_leaving(deployment, 'engine-1')
    for server in ('engine-0', 'engine-2'):
        deployment.control(server, fault='cut')
    since = time.monotonic()
    ask_all(deployment, ask_stream, LEAVING_IN_FORCE_S + REQUESTS_S)
    assert not count_late(deployment, 'engine-1', since)
    deployment.stop()


def test_requests_are_refused_at_once_when_the_only_server_leaves() -> None:
    deployment = start_with_large_budget(3, 1)
    say_leaving(deployment, 'plain-0')
    since = time.monotonic()
    asked = ask_all(deployment, ask_price, LEAVING_IN_FORCE_S + REQUESTS_S)
    assert not count_late(deployment, 'plain-0', since)
    check_refusals(asked)
    deployment.stop()


def test_the_next_start_of_a_server_that_left_is_used() -> None:
    deployment = start_with_large_budget(3, 2)
    say_leaving(deployment, 'engine-1')
    ask_all(deployment, ask_stream, 1)
    deployment.control('engine-1', fields={})
    spec = deployment.read_object('servers', 'engine-1')
    started = make_next_start('engine-1', spec)
    deployment.control('store', put=[started])
    since = time.monotonic()
    ask_all(deployment, ask_stream, LEAVING_IN_FORCE_S + REQUESTS_S)
    assert count_late(deployment, 'engine-1', since)
    deployment.stop()
