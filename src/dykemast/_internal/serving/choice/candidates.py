"""Backend servers that may get a request, now or after a wait."""

import math
from collections.abc import Iterable

from dykemast._internal.models.backend import BackendServer
from dykemast._internal.operations.rendezvous import choose_owner
from dykemast._internal.serving.knowledge.backends import list_allowed
from dykemast._internal.serving.knowledge.cold_servers import is_cold
from dykemast._internal.serving.parts import Parts
from dykemast._internal.serving.requests.admitted_request import AdmittedRequest
from dykemast._internal.serving.sending import send_checks
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('route')


def list_untried(
    parts: Parts,
    admitted: AdmittedRequest,
    tried: Iterable[str],
) -> list[BackendServer]:
    """List the servers that may get a request, now or later.

    :param parts: shared components.
    :param admitted: the admitted request.
    :param tried: names of servers that it was sent to before.
    :returns: the servers, including those with a limit or backoff.
    """
    reachable = _list_reachable(parts, admitted)
    return [server for server in reachable if server.name not in tried]


def list_available(
    parts: Parts,
    admitted: AdmittedRequest,
    servers: Iterable[BackendServer],
) -> list[BackendServer]:
    """List the servers that may get a request now.

    :param parts: shared components.
    :param admitted: the admitted request.
    :param servers: servers of its service.
    :returns: servers without backoff whose rate limits allow a request.
    """
    available = [
        one for one in servers if not compute_wait(parts, admitted, one)
    ]
    shared = (parts.board, parts.turns, parts.loads)
    return [
        one for one in available if send_checks.has_share(*shared, one)
    ] or available


def choose_isolated(
    usable: list[BackendServer],
    isolate_key: str,
) -> BackendServer | None:
    """Choose a server by hash, to keep suspected requests apart.

    If that server crashes as well, its other requests are cleared sooner.

    :param usable: servers that may get the request now.
    :param isolate_key: digest of the request.
    :returns: one of them; None without servers.
    """
    by_name = {one.name: one for one in usable}
    name = choose_owner(isolate_key, by_name)
    return by_name[name] if name else None


def compute_wait(
    parts: Parts, admitted: AdmittedRequest, server: BackendServer
) -> float:
    """Compute the time until this router may send to a server.

    :param parts: shared components.
    :param admitted: the admitted request.
    :param server: a server of its service.
    :returns: seconds; infinite while only other routers may send.
    """
    wait = send_checks.compute_wait(
        parts.board, parts.turns, server, admitted.service.cold_rate
    )
    shared = (parts.board, parts.turns, parts.loads)
    if send_checks.has_share(*shared, server):
        return wait
    slot_wait = send_checks.compute_slot_wait(parts.board, server, parts.loads)
    return max(wait, slot_wait)


def compute_min_wait(
    parts: Parts,
    admitted: AdmittedRequest,
    tried: Iterable[str] = (),
) -> float:
    """Compute the time until the first server may get a request.

    :param parts: shared components.
    :param admitted: the admitted request.
    :param tried: names of servers that it was sent to before.
    :returns: seconds; infinite when no server is known to become available.
    """
    waits = (
        compute_wait(parts, admitted, server)
        for server in list_untried(parts, admitted, tried)
    )
    return min(waits, default=math.inf)


def record_choice(
    parts: Parts, admitted: AdmittedRequest, server: BackendServer
) -> None:
    """Record that a server gets a request.

    :param parts: shared components.
    :param admitted: the admitted request.
    :param server: the server.
    """
    now = read_clock()
    parts.turns.record_sent(server.name, now)
    request = admitted.request.request_id
    if admitted.service.cold_rate and is_cold(parts.board, server.name, now):
        parts.metrics.cold_sends.inc({'service': server.service})
        _log(
            'send_to_cold',
            request=request,
            server=server.name,
            cold_s=round(parts.board.cold_until[server.name] - now, 3),
        )
    limit = parts.board.backpressure.limits.find(server.name)
    if limit:
        parts.metrics.limited_sends.inc({'service': server.service})
        _log(
            'send_to_limited',
            request=request,
            server=server.name,
            limit=limit.rate,
            told_s=round(now - limit.answered_at, 3),
        )


def _list_reachable(
    parts: Parts, admitted: AdmittedRequest
) -> list[BackendServer]:
    """List allowed servers, without absent ones unless all are absent."""
    allowed_regions = admitted.list_allowed_regions()
    allowed = list_allowed(
        parts.board,
        admitted.service.name,
        allowed_regions,
        admitted.server_version,
    )
    now = read_clock()
    reachable = [
        one
        for one in allowed
        if not parts.loads.absent.is_absent(one.name, now)
    ]
    return reachable or allowed
