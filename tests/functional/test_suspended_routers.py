"""Routers on a machine that is suspended for seconds.

The monotonic clock does not count the suspension. A router that uses it takes
its configuration, its list of servers, its peers and the deadlines of requests
for younger than they are: after the resume it refuses with 404 a route that was
added meanwhile, and lets a caller wait whose deadline has passed. A process
that is only stopped does not show this, since the monotonic clock of its
machine continues.
"""

import signal
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

from tests.lib.deployment import Deployment
from tests.lib.fixtures import wait_until
from tests.lib.users_caller import send
from tests.lib.users_objects import ROUTES, make_configuration, make_route

#: Duration of the suspension; a change must be in force after 2 s.
SUSPENSION_S = 3.0
#: Time until requests have reached a router whose process is stopped.
ARRIVAL_S = 0.5
#: Response time of the store, so that requests are handled before a read.
LATENCY_S = 0.2
#: Deadline of a request, which passes during the suspension.
DEADLINE_MS = '1500'


def start_deployment() -> Deployment:
    deployment = Deployment(routers=1)
    deployment.router_module = 'tests.lib.suspended_router'
    return deployment.start()


@contextmanager
def suspend(deployment: Deployment) -> Iterator[None]:
    """Suspend the router for 3 s; the ``with`` block runs meanwhile."""
    process = deployment.processes.running['node-0']
    process.send_signal(signal.SIGSTOP)
    until = time.monotonic() + SUSPENSION_S
    yield
    time.sleep(max(0, until - time.monotonic()))
    process.send_signal(signal.SIGCONT)


def add_route(deployment: Deployment) -> None:
    routes = (*ROUTES, make_route('/new/'))
    changed = make_configuration(version=7, prepaid=10**8, routes=routes)
    deployment.control('store', put=[['config', 'main', changed]])


def find_events(deployment: Deployment, name: str) -> list[dict]:
    return [
        event
        for event in deployment.read_events('node-0')
        if event['event'] == name
    ]


def test_a_router_that_wakes_up_refuses_nothing_by_what_it_knew() -> None:
    deployment = start_deployment()
    deployment.control('store', deaf=True, latency=LATENCY_S)
    with ThreadPoolExecutor() as caller:
        with suspend(deployment):
            add_route(deployment)
            time.sleep(SUSPENSION_S - ARRIVAL_S)
            asked = [
                caller.submit(send, deployment, '/new/1') for _ in range(4)
            ]
    answers = {one.result().status for one in asked}
    assert 404 not in answers, answers
    assert wait_until(lambda: send(deployment, '/new/1').status == 200)
    deployment.stop()


def read_times_of_refusals(deployment: Deployment, code: str) -> list[float]:
    events = find_events(deployment, 'refused')
    return [one['took_s'] for one in events if one['code'] == code]


def sleep_through(deployment: Deployment) -> None:
    with suspend(deployment):
        time.sleep(ARRIVAL_S)


def test_the_time_of_a_request_runs_on_while_its_router_sleeps() -> None:
    deployment = start_deployment()
    deployment.control('plain-0', fault='mute')
    with ThreadPoolExecutor() as caller:
        asked = caller.submit(
            send, deployment, '/order/1', X_Deadline_Ms=DEADLINE_MS
        )
        assert wait_until(lambda: bool(find_events(deployment, 'send')))
        sleep_through(deployment)
    assert asked.result().status == 504
    assert wait_until(
        lambda: bool(read_times_of_refusals(deployment, 'too_late'))
    )
    took = read_times_of_refusals(deployment, 'too_late')
    assert took[0] >= SUSPENSION_S, (
        f'it took {took} s by the clock of the router'
    )
    deployment.stop()


def test_a_suspension_is_logged() -> None:
    deployment = start_deployment()
    sleep_through(deployment)
    assert wait_until(lambda: bool(find_events(deployment, 'suspended')))
    told = find_events(deployment, 'suspended')
    assert told[0]['asleep_s'] >= SUSPENSION_S - ARRIVAL_S
    deployment.stop()
