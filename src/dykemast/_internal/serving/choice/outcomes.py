"""Outcomes of requests to backend servers, and retry budgets."""

import asyncio
from typing import Final

from dykemast._internal.models.backend import BackendServer
from dykemast._internal.operations.retry_budget import RetryBudget
from dykemast._internal.serving.parts import Parts
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('route')

#: Time for which an absent server gets no requests. Its entry expires within
#: that, and a restarted server has another id.
ABSENT_TIME_S: Final = 4.0
#: Interval of pruning. Each incarnation of a server has another name, so the
#: state of earlier ones would accumulate; one prompt cache holds up to as many
#: parts as the cache of the engine.
PRUNE_INTERVAL_S: Final = 10.0


def get_retry_budget(parts: Parts, service: str) -> RetryBudget:
    """Get the retry budget of a service, or create it.

    :param parts: shared components.
    :param service: name of the service.
    :returns: its retry budget.
    """
    budget = parts.retries.get(service)
    if budget is None:
        bounds = parts.board.settings.bounds
        budget = RetryBudget(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window
        )
        parts.retries[service] = budget
    return budget


def record_absent(parts: Parts, server: BackendServer) -> None:
    """Record that nothing listens at the address of a backend server.

    :param parts: shared components.
    :param server: the server.
    """
    now = read_clock()
    if not parts.loads.absent.is_absent(server.name, now):
        _log('server_absent', server=server.name, seconds=ABSENT_TIME_S)
    parts.loads.absent.record(server.name, now, ABSENT_TIME_S)


def record_outcome(
    parts: Parts, server: BackendServer, *, failed: bool
) -> None:
    """Record the outcome of a request to a backend server.

    :param parts: shared components.
    :param server: the server.
    :param failed: whether the request failed.
    """
    parts.trust.record_outcome(server.name, read_clock(), failed=failed)
    outcome = 'failed' if failed else 'done'
    parts.metrics.sends.inc({'service': server.service, 'outcome': outcome})


async def forget_gone(parts: Parts) -> None:
    """Prune the state of unlisted servers periodically; never returns.

    :param parts: shared components.
    """
    while True:
        await asyncio.sleep(PRUNE_INTERVAL_S)
        parts.loads.caches.keep_only(parts.board.servers)
        parts.trust.keep_only(parts.board.servers)
        parts.turns.keep_only(parts.board.servers)
        parts.board.backpressure.expire(parts.board.servers, read_clock())
