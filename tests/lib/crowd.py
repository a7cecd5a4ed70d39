"""Concurrent callers of all routers, and the request rate at servers."""

import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from tests.lib.deployment import Deployment
from tests.lib.users_caller import Reply, send, stream

CALLERS = 16
#: Longest duration of an immediate refusal.
IMMEDIATE_REFUSAL_S = 1.0

Ask = Callable[[Deployment, str], Reply]


class Asked(NamedTuple):
    """A reply, the time of its request and its duration in seconds."""

    reply: Reply
    at: float
    took: float


def ask_stream(deployment: Deployment, router: str) -> Reply:
    return stream(deployment, router=router)


def ask_price(deployment: Deployment, router: str) -> Reply:
    return send(deployment, '/price/1', router=router)


def start_with_large_budget(routers: int, engines: int) -> Deployment:
    """Start a deployment whose budget the test does not exhaust."""
    return Deployment(routers, engines).start(prepaid=100_000_000)


def ask_all(deployment: Deployment, ask: Ask, seconds: float) -> list[Asked]:
    """Send requests to all routers concurrently for ``seconds``."""
    until = time.monotonic() + seconds

    def ask_one(number: int) -> list[Asked]:
        router = deployment.names[number % len(deployment.names)]
        replies = []
        while time.monotonic() < until:
            at = time.monotonic()
            reply = ask(deployment, router)
            replies.append(Asked(reply, at, time.monotonic() - at))
        return replies

    with ThreadPoolExecutor(CALLERS) as pool:
        found = pool.map(ask_one, range(CALLERS))
        return [one for replies in found for one in replies]


def count_busiest_window(
    deployment: Deployment, server: str, since: float, window: float = 1
) -> int:
    """Count the arrivals in the busiest window of the given length."""
    arrivals = deployment.control(server)['arrivals']
    times = [at for _, at in arrivals if at >= since]
    return max(
        (sum(begin <= at < begin + window for at in times) for begin in times),
        default=0,
    )


def check_refusals(asked: list[Asked]) -> None:
    """Check that some were refused, each immediately and as not run."""
    refused = [one for one in asked if one.reply.status != 200]
    assert refused
    for one in refused:
        assert one.reply.status == 503
        assert float(one.reply.headers['retry-after']) > 0
        assert one.took < IMMEDIATE_REFUSAL_S
