"""Servers that are slow from their start bear a bounded rate from all routers.

Each router sees the same empty server at the same moment, and it falls over
when all of them send there.
"""

import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from types import MappingProxyType

from tests.lib.deployment import Deployment
from tests.lib.users_caller import Reply, stream

#: Seconds for which servers are cold, and requests a second that one bears.
COLD_TIME = 3.0
COLD_RATE = 4.0
#: What all routers together may send to one in any second.
MOST = 1.5 * COLD_RATE + 5
SERVICE = MappingProxyType({'coldStartS': COLD_TIME, 'coldPerS': COLD_RATE})
#: Seconds in which routers hear of a changed entry.
HEAR_TIME = 1.0
AT_ONCE = 1.0
CALLERS = 16


def start_three_engines() -> Deployment:
    deployment = Deployment(routers=3, engines=3)
    return deployment.start(prepaid=100_000_000, engine_service=SERVICE)


def turn_cold(deployment: Deployment, *servers: str) -> None:
    put = []
    for name in servers:
        stored = deployment.read_object('servers', name)
        cold = {**stored, 'coldLeftMs': int(1000 * (COLD_TIME + HEAR_TIME))}
        put.append(['servers', name, cold])
    deployment.control('store', put=put)
    time.sleep(HEAR_TIME)


def ask_for(
    deployment: Deployment, seconds: float
) -> list[tuple[Reply, float]]:
    """Ask all routers at once, again and again."""
    until = time.monotonic() + seconds

    def ask(number: int) -> list[tuple[Reply, float]]:
        router = deployment.names[number % len(deployment.names)]
        replies = []
        while time.monotonic() < until:
            asked_at = time.monotonic()
            part = uuid.uuid4().hex
            reply = stream(deployment, router=router, prompt=f'{part}:100')
            replies.append((reply, time.monotonic() - asked_at))
        return replies

    with ThreadPoolExecutor(CALLERS) as pool:
        return [one for found in pool.map(ask, range(CALLERS)) for one in found]


def find_busiest(deployment: Deployment, server: str, since: float) -> int:
    """Count the arrivals in the busiest second."""
    arrivals = deployment.control(server)['arrivals']
    times = sorted(at for _, at in arrivals if at >= since)
    return max(
        (sum(begin <= at < begin + 1 for at in times) for begin in times),
        default=0,
    )


def check_refusals(refused: list[tuple[Reply, float]]) -> None:
    assert refused
    for reply, took in refused:
        assert reply.status == 503
        assert float(reply.headers['retry-after']) > 0
        assert took < AT_ONCE


def test_all_routers_together_keep_to_what_a_cold_server_bears() -> None:
    deployment = start_three_engines()
    turn_cold(deployment, 'engine-2')
    since = time.monotonic()
    replies = ask_for(deployment, COLD_TIME - 1)
    assert {reply.status for reply, _ in replies} == {200}
    assert find_busiest(deployment, 'engine-2', since) <= MOST
    assert find_busiest(deployment, 'engine-0', since) > MOST
    deployment.stop()


def test_more_than_cold_servers_bear_is_refused_at_once() -> None:
    deployment = start_three_engines()
    servers = ('engine-0', 'engine-1', 'engine-2')
    turn_cold(deployment, *servers)
    since = time.monotonic()
    replies = ask_for(deployment, COLD_TIME - 1)
    for server in servers:
        assert 0 < find_busiest(deployment, server, since) <= MOST
    check_refusals([one for one in replies if one[0].status != 200])
    deployment.stop()
