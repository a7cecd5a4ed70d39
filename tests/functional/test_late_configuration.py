"""Final refusals must not come from an outdated configuration.

A caller of an added route must not get 404 later than 3 s after the store
confirms the change. A router that uses all of its CPU share for 9 s (48 to 51 %
of a core of its 0.516) may read nothing from the store for 4 s, since reads and
gossip messages wait behind requests, of which 334 end without a response. Fails
if the age of the configuration is not checked: 404 after 4.2 s.

A router that runs for 6 to 10 % of the time applies a change 1.3, 2.1 or 3.7 s
after its confirmation. Fails if messages that waited in its buffers count as
new, so that it takes its configuration for 0.1, 0.9 or 1.2 s old.

Silent connections to the store delay a change as much without any load: a read
is due after 1.4 s, times out after 2 s, is retried after 0.5 s, and may get
another silent connection.
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

#: Time until a change is in force, by the users' settings.
PROMISED_S = 2.0
#: Time after that for which callers send requests.
REQUESTS_S = 3.0
#: Time until requests have reached a router whose process is stopped.
ARRIVAL_S = 0.5
#: Response time of the store, so that requests are handled before a read.
LATENCY_S = 0.2


def add_route(deployment: Deployment) -> float:
    """Add a route; return the time of the store's confirmation."""
    routes = (*ROUTES, make_route('/new/'))
    changed = make_configuration(version=7, prepaid=10**8, routes=routes)
    deployment.control('store', put=[['config', 'main', changed]])
    return time.monotonic()


def wait_until_in_force(since: float) -> None:
    """Wait until a change must be in force."""
    time.sleep(max(0, since + PROMISED_S - time.monotonic()))


def ask_new_route(deployment: Deployment, since: float) -> Iterator[int]:
    """Call the new route once it must be in force; yield the statuses."""
    wait_until_in_force(since)
    while time.monotonic() < since + PROMISED_S + REQUESTS_S:
        yield send(deployment, '/new/1').status
        time.sleep(0.1)


def test_a_router_with_an_outdated_configuration_refuses_nothing_for_good() -> (
    None
):
    # The process is stopped from before the change until it must be in force,
    # its watch has received nothing, and requests wait when it continues.
    deployment = Deployment(routers=1).start()
    deployment.control('store', deaf=True, latency=LATENCY_S)
    process = deployment.processes.running['node-0']
    process.send_signal(signal.SIGSTOP)
    wait_until_in_force(add_route(deployment))
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
