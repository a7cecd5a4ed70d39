"""Refused for good, by a configuration that was no longer in force.

A caller asked a route that operators had added and got 404, 4.2 s after the
store had confirmed the change; 3 s are promised there. The router used all of
its processor for 9 s (48 to 51 % of a core where 0.516 are given) and read
nothing from the store for 4 s, while 334 callers left it unserved: reads and
news waited behind requests, and nothing asked how old the configuration was.

By hand, a router that runs for 6 to 10 % of the time had the change 1.3, 2.1
and 3.7 s after it was confirmed, and took its knowledge for 0.1, 0.9 and 1.2 s
old just then: news that had waited in its buffers counted as new.

Without any load a change came as late when the connections that a router kept
to the store had gone silent: a read was due after 1.4 s, waited 2 s for an
answer, then 0.5 s, and the next one could take another silent connection.
"""

import signal
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

from tests.lib.deployment import Deployment
from tests.lib.fixtures import wait_until
from tests.lib.users_caller import send
from tests.lib.users_objects import ROUTES, make_configuration, make_route
from tests.soak.links import Links
from tests.soak.proxy import STALE

#: Seconds until a change is in force, as the users' settings say.
PROMISED_S = 2.0
#: Seconds after that for which callers ask.
REQUESTS_S = 3.0
#: Seconds until requests have reached a router that stands still.
ARRIVAL_S = 0.5
#: Seconds that the store takes for an answer, so that no read comes first.
LATENCY_S = 0.2


def add_route(deployment: Deployment) -> float:
    """Add a route; return when the store had confirmed it."""
    routes = (*ROUTES, make_route('/new/'))
    changed = make_configuration(version=7, prepaid=10**8, routes=routes)
    deployment.control('store', put=[['config', 'main', changed]])
    return time.monotonic()


def wait_for_promise(since: float) -> None:
    """Wait until a change has to be in force."""
    time.sleep(max(0, since + PROMISED_S - time.monotonic()))


def ask_new_route(deployment: Deployment, since: float) -> Iterator[int]:
    """Ask the new route from when it has to be known; tell the answers."""
    wait_for_promise(since)
    while time.monotonic() < since + PROMISED_S + REQUESTS_S:
        yield send(deployment, '/new/1').status
        time.sleep(0.1)


def test_a_router_that_got_to_nothing_refuses_nothing_for_good() -> None:
    # Its loop stands still from before the change until after the promise,
    # its watch has heard nothing, and requests wait when it goes on.
    deployment = Deployment(routers=1).start()
    deployment.control('store', deaf=True, latency=LATENCY_S)
    process = deployment.processes.running['node-0']
    process.send_signal(signal.SIGSTOP)
    wait_for_promise(add_route(deployment))
    with ThreadPoolExecutor() as caller:
        asked = [caller.submit(send, deployment, '/new/1') for _ in range(4)]
        time.sleep(ARRIVAL_S)
        process.send_signal(signal.SIGCONT)
    answers = {one.result().status for one in asked}
    assert 404 not in answers, answers
    assert wait_until(lambda: send(deployment, '/new/1').status == 200)
    deployment.stop()


def test_a_change_is_in_force_though_kept_connections_went_silent() -> None:
    links = Links()
    links.start()
    deployment = Deployment(routers=1)
    port = deployment.backend_ports['store']
    deployment.store_ports['node-0'] = links.open('node-0', port)
    deployment.start()
    assert send(deployment, '/order/1').status == 200
    links.switch('node-0', STALE)
    answers = list(ask_new_route(deployment, add_route(deployment)))
    assert set(answers) == {200}, answers
    deployment.stop()
    links.stop()
