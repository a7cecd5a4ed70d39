"""Answers with neither a length nor chunks end with their connection.

An orderly end has to be distinguished from a reset, after which the answer may
be incomplete.
"""

import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

from tests.lib.deployment import Deployment
from tests.lib.partitioned_router import MODULE, partition
from tests.lib.unframed_proxy import PART, RESET, UnframedProxy
from tests.lib.users_caller import Reply, send, stream

Proxies = dict[str, UnframedProxy]
TRIES = 5
EVENTS = 20
#: Bytes of some events, and half of the next one.
MIDDLE_BYTES = 95
#: Interval between the events of a slow stream, and the time after which a
#: router knows that its links are broken.
EVENT_S = 0.1
CONTACT_S = 3.0


@contextmanager
def start_unframed(
    engines: int = 1, routers: int = 1
) -> Iterator[tuple[Deployment, Proxies]]:
    """Start a deployment whose first servers of each service are unframed."""
    deployment = Deployment(routers=routers, engines=engines)
    deployment.router_module = MODULE
    proxies = {
        name: UnframedProxy(deployment.backend_ports[name])
        for name in ('plain-0', 'engine-0')
    }
    for name, proxy in proxies.items():
        deployment.listed_ports[name] = proxy.port
    deployment.start(prepaid=1_000_000)
    try:
        yield deployment, proxies
    finally:
        deployment.stop()
        for proxy in proxies.values():
            proxy.stop()


def count_events(reply: Reply) -> int:
    return reply.body.count(b'\n\n')


def test_a_call_whose_answer_ends_with_its_connection_is_answered() -> None:
    with start_unframed() as (deployment, _):
        replies = [send(deployment, '/price/1') for _ in range(TRIES)]
        replies += [send(deployment, '/order/1') for _ in range(TRIES)]
    assert [(one.status, one.body) for one in replies] == [
        (200, b'done') for _ in replies
    ]


def test_a_stream_that_ends_with_its_connection_is_whole() -> None:
    with start_unframed() as (deployment, _):
        replies = [stream(deployment) for _ in range(TRIES)]
    assert [(one.status, count_events(one)) for one in replies] == [
        (200, EVENTS) for _ in replies
    ]
    assert all(one.whole for one in replies)


def test_an_answer_without_a_length_that_is_reset_is_not_whole() -> None:
    with start_unframed() as (deployment, proxies):
        for proxy in proxies.values():
            proxy.ending = RESET
            proxy.sent_bytes = 2
        replies = [send(deployment, '/price/1') for _ in range(TRIES)]
        cut = stream(deployment)
    assert {one.status for one in replies} <= {502, 503, 504}, replies
    assert cut.status != 200 or not cut.whole


def check_stream_goes_on(ending: str) -> None:
    with start_unframed(engines=2) as (deployment, proxies):
        proxies['engine-0'].ending = ending
        proxies['engine-0'].sent_bytes = MIDDLE_BYTES
        # A repeated request whose sends break may crash its servers.
        replies = [
            stream(deployment, body=f'stream {number}')
            for number in range(2 * TRIES)
        ]
        runs = deployment.control('engine-0')['runs']
    assert runs, 'the engine with unframed answers got requests'
    assert {count_events(one) for one in replies} == {EVENTS}
    assert all(one.whole for one in replies)


def test_a_stream_without_a_length_that_is_reset_goes_on_elsewhere() -> None:
    check_stream_goes_on(RESET)


def test_a_stream_that_ends_within_an_event_goes_on_elsewhere() -> None:
    check_stream_goes_on(PART)


def test_a_stream_that_ends_with_its_connection_is_whole_through_a_peer() -> (
    None
):
    with start_unframed(routers=2) as (deployment, _):
        partition(deployment, 'node-0', 'refuse')
        time.sleep(CONTACT_S)
        replies = [stream(deployment) for _ in range(TRIES)]
    assert [(one.status, count_events(one)) for one in replies] == [
        (200, EVENTS) for _ in replies
    ]
    assert all(one.whole for one in replies)


def test_a_stream_through_a_router_that_dies_is_not_whole() -> None:
    # The connections of a killed process end in an orderly way.
    with start_unframed(routers=2) as (deployment, _):
        deployment.control('engine-0', pause=EVENT_S)
        partition(deployment, 'node-0', 'refuse')
        time.sleep(CONTACT_S)
        with ThreadPoolExecutor() as pool:
            asked = pool.submit(stream, deployment)
            time.sleep(EVENTS * EVENT_S / 2)
            deployment.processes.kill('node-1')
            reply = asked.result()
    assert reply.status != 200 or not reply.whole, reply
    assert count_events(reply) < EVENTS
