"""The request rate of all routers at cold servers is bounded.

All routers see the same idle server at the same moment and would overload it
if each sent its requests there.
"""

import time
import uuid
from types import MappingProxyType

from tests.lib.crowd import ask_all, check_refusals, count_busiest_window
from tests.lib.deployment import Deployment
from tests.lib.users_caller import Reply, stream

#: Seconds for which servers are cold, and the rate that one sustains.
COLD_S = 3.0
COLD_REQUESTS_PER_S = 4.0
#: Requests that all routers together may send to a server in any second.
MAX_REQUESTS = 1.5 * COLD_REQUESTS_PER_S + 5
SERVICE = MappingProxyType(
    {'coldStartS': COLD_S, 'coldPerS': COLD_REQUESTS_PER_S}
)
#: Time until all routers have received a changed entry.
PROPAGATION_S = 1.0


def start_three_engines() -> Deployment:
    deployment = Deployment(routers=3, engines=3)
    return deployment.start(prepaid=100_000_000, engine_service=SERVICE)


def turn_cold(deployment: Deployment, *servers: str) -> None:
    put = []
    for name in servers:
        stored = deployment.read_object('servers', name)
        cold = {**stored, 'coldLeftMs': int(1000 * (COLD_S + PROPAGATION_S))}
        put.append(['servers', name, cold])
    deployment.control('store', put=put)
    time.sleep(PROPAGATION_S)


def ask_stream(deployment: Deployment, router: str) -> Reply:
    # Each prompt is new, so that no server has a prefix of it cached.
    part = uuid.uuid4().hex
    return stream(deployment, router=router, prompt=f'{part}:100')


def test_all_routers_together_keep_to_the_rate_of_a_cold_server() -> None:
    deployment = start_three_engines()
    turn_cold(deployment, 'engine-2')
    since = time.monotonic()
    asked = ask_all(deployment, ask_stream, COLD_S - 1)
    assert {one.reply.status for one in asked} == {200}
    assert count_busiest_window(deployment, 'engine-2', since) <= MAX_REQUESTS
    assert count_busiest_window(deployment, 'engine-0', since) > MAX_REQUESTS
    deployment.stop()


def test_requests_beyond_the_rate_of_cold_servers_are_refused_at_once() -> None:
    deployment = start_three_engines()
    servers = ('engine-0', 'engine-1', 'engine-2')
    turn_cold(deployment, *servers)
    since = time.monotonic()
    asked = ask_all(deployment, ask_stream, COLD_S - 1)
    for server in servers:
        assert (
            0 < count_busiest_window(deployment, server, since) <= MAX_REQUESTS
        )
    check_refusals(asked)
    deployment.stop()
