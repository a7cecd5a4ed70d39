"""What sends to backend servers came to, and how many may be repeated."""

import asyncio
from typing import Final

from dykemast._internal.models.backend import BackendServer
from dykemast._internal.operations.retry_budget import RetryBudget
from dykemast._internal.serving.parts import Parts
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('route')

#: Seconds for which a server that is not at its address is passed over: its
#: entry goes after three heartbeats of 1.2 s, and one that comes back has
#: another id.
ABSENT_TIME: Final = 4.0
#: Seconds between two rounds. Each start of a server has another id, so that
#: what is known of those before would stay for ever; a cache holds up to all
#: parts of prompts that an engine keeps.
FORGET_PAUSE: Final = 10.0


def get_retry_budget(parts: Parts, service: str) -> RetryBudget:
    """Find the allowance for second sends to a service, or open it.

    :param parts: parts of the program.
    :param service: the service.
    :returns: its allowance.
    """
    allowance = parts.retries.get(service)
    if allowance is None:
        bounds = parts.board.settings.bounds
        allowance = RetryBudget(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window
        )
        parts.retries[service] = allowance
    return allowance


def record_absent(parts: Parts, server: BackendServer) -> None:
    """Take note that a backend server is no longer at its address.

    :param parts: parts of the program.
    :param server: the server.
    """
    now = read_clock()
    if not parts.loads.absent.is_absent(server.name, now):
        _log('server_absent', server=server.name, seconds=ABSENT_TIME)
    parts.loads.absent.record(server.name, now, ABSENT_TIME)


def record_outcome(
    parts: Parts, server: BackendServer, *, failed: bool
) -> None:
    """Take note of how a backend server did.

    :param parts: parts of the program.
    :param server: the server.
    :param failed: whether it failed.
    """
    parts.trust.record_outcome(server.name, read_clock(), failed=failed)
    outcome = 'failed' if failed else 'done'
    parts.metrics.sends.inc({'service': server.service, 'outcome': outcome})


async def forget_gone(parts: Parts) -> None:
    """Forget servers that are not listed any more, for ever.

    :param parts: parts of the program.
    """
    while True:
        await asyncio.sleep(FORGET_PAUSE)
        parts.loads.caches.keep_only(parts.board.servers)
        parts.trust.keep_only(parts.board.servers)
        parts.turns.keep_only(parts.board.servers)
        parts.board.backpressure.forget(parts.board.servers, read_clock())
