"""Entry responses stop naming a router that is gone within the users' bound."""

import functools
import time

from tests.lib.deployment import Deployment
from tests.lib.fixtures import wait_until
from tests.lib.users_objects import HOST
from tools.calls import call

#: Time until a router that is gone is not named any more: the time until the
#: others count as in contact, and 3 s.
GONE_WITHIN_S = 4.0 + 3.0
ASKS = 10


@functools.cache
def start_three() -> Deployment:
    return Deployment(routers=3, engines=1).start()


def list_named(deployment: Deployment, router: str) -> set[str]:
    """List the routers that several responses of one router name."""
    url = deployment.find_url(router, 'entry')
    answers = [call(f'{url}/resolve?name={HOST}') for _ in range(ASKS)]
    return {one for answer in answers for one in answer['addresses']}


def find_address(deployment: Deployment, router: str) -> str:
    host = deployment.find_host(router)
    return '{0}:{1}'.format(host, deployment.ports['caller'])


def is_named_by_others(deployment: Deployment, router: str) -> bool:
    address = find_address(deployment, router)
    others = [name for name in deployment.names if name != router]
    return any(address in list_named(deployment, one) for one in others)


def check_not_named(deployment: Deployment, gone_at: float) -> None:
    time.sleep(max(0, gone_at + GONE_WITHIN_S - time.monotonic()))
    for _ in range(3):
        assert not is_named_by_others(deployment, 'node-2')
        time.sleep(0.5)


def test_a_router_that_was_killed_is_named_no_more() -> None:
    deployment = start_three()
    assert wait_until(lambda: is_named_by_others(deployment, 'node-2'))
    process = deployment.processes.running['node-2']
    process.kill()
    process.wait()
    check_not_named(deployment, time.monotonic())
    # A restarted router is named although its old entry is still cached.
    deployment.start_router('node-2')
    assert wait_until(lambda: is_named_by_others(deployment, 'node-2'))


def test_a_router_that_stopped_is_named_no_more() -> None:
    deployment = start_three()
    assert wait_until(lambda: is_named_by_others(deployment, 'node-2'))
    process = deployment.processes.running['node-2']
    process.terminate()
    stopping_at = time.monotonic()
    assert wait_until(lambda: not is_named_by_others(deployment, 'node-2'))
    assert time.monotonic() < stopping_at + GONE_WITHIN_S
    process.wait()
    check_not_named(deployment, time.monotonic())
    deployment.start_router('node-2')
    assert wait_until(lambda: is_named_by_others(deployment, 'node-2'))
