"""Backend servers that a request may go to, now or soon."""

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
    """List the servers that a request may go to, sooner or later.

    :param parts: parts of the program.
    :param admitted: the request.
    :param tried: servers that had it before.
    :returns: the servers, also those that get nothing for a while.
    """
    present = _list_present(parts, admitted)
    return [server for server in present if server.name not in tried]


def list_open(
    parts: Parts,
    admitted: AdmittedRequest,
    servers: Iterable[BackendServer],
) -> list[BackendServer]:
    """List the servers that may get a request now.

    :param parts: parts of the program.
    :param admitted: the request.
    :param servers: of its service.
    :returns: those that bear it, and where only a rate, whose turn it is.
    """
    return [one for one in servers if not compute_wait(parts, admitted, one)]


def choose_apart(
    usable: list[BackendServer],
    apart: str,
) -> BackendServer | None:
    """Choose so that requests under suspicion are seldom together.

    Whoever else was there when the next server ends is cleared the sooner.

    :param usable: servers that may get it now.
    :param apart: digest of the request.
    :returns: one of them; None when there is none.
    """
    by_name = {one.name: one for one in usable}
    name = choose_owner(apart, by_name)
    return by_name[name] if name else None


def compute_wait(
    parts: Parts, admitted: AdmittedRequest, server: BackendServer
) -> float:
    """Measure for how long a server gets nothing from this router.

    :param parts: parts of the program.
    :param admitted: the request.
    :param server: of its service.
    :returns: seconds; infinite while only other routers may send to it.
    """
    return send_checks.compute_wait(
        parts.board, parts.turns, server, admitted.service.cold_rate
    )


def compute_min_wait(
    parts: Parts,
    admitted: AdmittedRequest,
    tried: Iterable[str] = (),
) -> float:
    """Find how long it takes until some server may get a request.

    :param parts: parts of the program.
    :param admitted: the request.
    :param tried: servers that had it before.
    :returns: seconds; infinite when none may, as far as is known.
    """
    waits = (
        compute_wait(parts, admitted, server)
        for server in list_untried(parts, admitted, tried)
    )
    return min(waits, default=math.inf)


def note_chosen(
    parts: Parts, admitted: AdmittedRequest, server: BackendServer
) -> None:
    """Take note that a server gets a request.

    :param parts: parts of the program.
    :param admitted: the request.
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


def _list_present(
    parts: Parts, admitted: AdmittedRequest
) -> list[BackendServer]:
    """List allowed servers, without those found absent if there are others."""
    allowed_regions = admitted.list_allowed_regions()
    allowed = list_allowed(parts.board, admitted.service.name, allowed_regions)
    now = read_clock()
    present = [
        one
        for one in allowed
        if not parts.loads.absent.is_absent(one.name, now)
    ]
    return present or allowed
