"""What a server says that it takes holds over all routers, on every way."""

import time
from types import MappingProxyType

from tests.lib.crowd import (
    Ask,
    ask_all,
    ask_price,
    ask_stream,
    check_refusals,
    find_busiest,
    start_plenty,
)
from tests.lib.deployment import Deployment

#: Requests a second that a server takes, seconds from its first word on after
#: which that holds, and seconds in which arrivals are counted.
LIMIT = 1.8
CONTACT_TIME = 3.0
WINDOW = 4.0
#: What users allow in such a window.
MOST = 1.5 * LIMIT * WINDOW + 5
FIELDS = MappingProxyType({'server-limit': str(LIMIT)})
#: Seconds for which all ask.
ASK_TIME = CONTACT_TIME + WINDOW + 0.5


def find_most_by_limit(deployment: Deployment, server: str, ask: Ask) -> int:
    """Count what a server gets in a window once it has named a limit."""
    deployment.control(server, fields=dict(FIELDS))
    since = time.monotonic() + CONTACT_TIME
    ask_all(deployment, ask, ASK_TIME)
    return find_busiest(deployment, server, since, WINDOW)


def test_a_servers_limit_is_not_exceeded_by_all_routers_together() -> None:
    deployment = start_plenty(3, 3)
    most = find_most_by_limit(deployment, 'engine-2', ask_stream)
    assert 0 < most <= MOST
    # The others serve what it does not take.
    assert find_busiest(deployment, 'engine-0', 0, WINDOW) > MOST
    deployment.stop()


def test_resumed_streams_do_not_exceed_a_servers_limit() -> None:
    deployment = start_plenty(3, 3)
    for server in ('engine-0', 'engine-1'):
        deployment.control(server, fault='cut')
    assert find_most_by_limit(deployment, 'engine-2', ask_stream) <= MOST
    deployment.stop()


def test_more_than_the_only_server_takes_is_refused_at_once() -> None:
    deployment = start_plenty(3, 1)
    deployment.control('plain-0', fields=dict(FIELDS))
    since = time.monotonic() + CONTACT_TIME
    asked = ask_all(deployment, ask_price, ASK_TIME)
    assert 0 < find_busiest(deployment, 'plain-0', since, WINDOW) <= MOST
    check_refusals(asked)
    deployment.stop()


def test_a_limit_that_is_over_holds_no_router_back() -> None:
    deployment = start_plenty(3, 3)
    deployment.control('engine-2', fields=dict(FIELDS))
    ask_all(deployment, ask_stream, 2)
    deployment.control('engine-2', fields={})
    # It takes a turn of who may ask, and a round of news, until all know.
    ask_all(deployment, ask_stream, 2)
    since = time.monotonic()
    ask_all(deployment, ask_stream, WINDOW)
    assert find_busiest(deployment, 'engine-2', since, WINDOW) > MOST
    deployment.stop()
