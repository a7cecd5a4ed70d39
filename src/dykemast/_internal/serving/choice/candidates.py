"""Backend servers that a request may go to, now or soon."""

import math
from collections.abc import Iterable

from dykemast._internal.models.backend import BackendServer
from dykemast._internal.operations.rendezvous import choose_keeper
from dykemast._internal.serving.knowledge.backends import list_allowed
from dykemast._internal.serving.knowledge.cold_servers import is_cold
from dykemast._internal.serving.parts import Parts
from dykemast._internal.serving.requests.ticket import Ticket
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('route')


def list_untried(
    parts: Parts,
    ticket: Ticket,
    tried: Iterable[str],
) -> list[BackendServer]:
    """List the servers that a request may go to, sooner or later.

    :param parts: parts of the program.
    :param ticket: the request.
    :param tried: servers that had it before.
    :returns: the servers, cold ones among them.
    """
    present = _list_present(parts, ticket)
    return [server for server in present if server.name not in tried]


def list_open(
    parts: Parts,
    ticket: Ticket,
    servers: Iterable[BackendServer],
) -> list[BackendServer]:
    """List the servers that may get a request now.

    :param parts: parts of the program.
    :param ticket: the request.
    :param servers: of its service.
    :returns: those that are not cold, and cold ones whose turn it is.
    """
    return [one for one in servers if not measure_wait(parts, ticket, one)]


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
    name = choose_keeper(apart, by_name)
    return by_name[name] if name else None


def measure_wait(parts: Parts, ticket: Ticket, server: BackendServer) -> float:
    """Measure for how long a server gets nothing from this router.

    :param parts: parts of the program.
    :param ticket: the request.
    :param server: of its service.
    :returns: seconds; infinite while only other routers may send to it.
    """
    rate = ticket.service.cold_rate
    now = read_clock()
    if not rate or not is_cold(parts.board, server.name, now):
        return 0
    routers = frozenset((parts.board.settings.name, *parts.board.peers))
    if not parts.board.peers_read.is_set():
        return math.inf
    return parts.cold_turns.measure_wait(server.name, routers, rate, now)


def note_chosen(parts: Parts, ticket: Ticket, server: BackendServer) -> None:
    """Take note that a server gets a request.

    :param parts: parts of the program.
    :param ticket: the request.
    :param server: the server.
    """
    now = read_clock()
    if not ticket.service.cold_rate or not is_cold(
        parts.board, server.name, now
    ):
        return
    parts.cold_turns.note_sent(server.name, now)
    parts.meters.cold_sends.inc({'service': server.service})
    _log(
        'send_to_cold',
        request=ticket.request.request_id,
        server=server.name,
        cold_s=round(parts.board.cold_until[server.name] - now, 3),
    )


def _list_present(parts: Parts, ticket: Ticket) -> list[BackendServer]:
    """List allowed servers, without those found absent if there are others."""
    homes = ticket.list_homes()
    allowed = list_allowed(parts.board, ticket.service.name, homes)
    now = read_clock()
    present = [
        one
        for one in allowed
        if not parts.loads.absent.is_absent(one.name, now)
    ]
    return present or allowed
