"""Maintain the list of backend servers."""

import asyncio
from collections.abc import Iterable
from typing import Final

from dykemast._internal.models.backend import BackendServer
from dykemast._internal.platform.servers import SERVER_KIND
from dykemast._internal.platform.store_types import split_position
from dykemast._internal.serving.knowledge.server_versions import (
    is_usable,
    list_of_version,
    record_change,
)
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('backends')

#: Seconds without a listing by any live router after which the store counts as
#: having been unavailable: longer than listings are apart, and shorter than the
#: life of an entry.
STORE_OUTAGE_GAP_S: Final = 2.5
#: Seconds for which a server is kept whose entry expired during the outage, or
#: is not in the copy that the store returned from: running servers are listed
#: again within that time.
EXPIRED_GRACE_S: Final = 2.0
#: Seconds between two checks for these.
EXPIRED_CHECK_INTERVAL_S: Final = 0.25


async def remove_expired(board: ServingBoard) -> None:
    """Remove servers whose expired entry did not return in time; never returns.

    :param board: the blackboard.
    """
    while True:
        await asyncio.sleep(EXPIRED_CHECK_INTERVAL_S)
        now = read_clock()
        overdue = [
            name for name, until in board.expired_until.items() if until < now
        ]
        for name in overdue:
            remove_server(board, name)


def mark_leaving(
    board: ServingBoard,
    names: Iterable[str],
    source: str,
) -> None:
    """Mark servers as leaving, so that they get no new requests.

    :param board: the blackboard.
    :param names: names of their incarnations.
    :param source: where the information comes from, for the log.
    """
    for name in set(names) - board.leaving:
        if name in board.servers:
            board.leaving.add(name)
            _log('server_leaving', server=name, source=source)


def list_usable(board: ServingBoard, service: str) -> list[BackendServer]:
    """List the servers of a service that accept new requests.

    :param board: the blackboard.
    :param service: the service.
    :returns: the servers.
    """
    return [
        server
        for server in board.servers.values()
        if server.service == service and is_usable(board, server.name)
    ]


def list_allowed(
    board: ServingBoard,
    service: str,
    allowed_regions: Iterable[frozenset[str]],
    version: str | None = None,
) -> list[BackendServer]:
    """List the servers that a request may be sent to.

    :param board: the blackboard.
    :param service: the service.
    :param allowed_regions: regions that the request may be sent to; each
        set applies.
    :param version: version of the servers; None for any.
    :returns: usable servers in these regions, without evacuated halls; if no
        server of the version is usable, those of it that are leaving and still
        serve.
    """
    regions = board.settings.regions
    if version is None:
        usable = list_usable(board, service)
    else:
        usable = list_of_version(board, service, version)
    return [
        server
        for server in usable
        if server.hall not in board.evacuations.halls
        and all(regions.get(server.hall) in home for home in allowed_regions)
    ]


def add_server(board: ServingBoard, server: BackendServer) -> None:
    """Add or update a listed server.

    An earlier incarnation with the same id is removed with all its state: the
    new process shares nothing with it, and the earlier one may have announced
    that it leaves.

    :param board: the blackboard.
    :param server: the server, as its entry describes it.
    """
    earlier = board.server_starts.get(server.server_id)
    if earlier and earlier.name != server.name:
        _log('server_started_again', server=server.name, before=earlier.name)
        remove_server(board, earlier.name)
    before = board.servers.get(server.name)
    record_change(board, server, earlier)
    board.servers[server.name] = server
    board.server_starts[server.server_id] = server
    board.expired_until.pop(server.name, None)
    if before is None:
        _log(
            'server_new',
            server=server.name,
            service=server.service,
            endpoint=str(server.endpoint),
            hall=server.hall,
            slots=server.slots,
            version=server.version,
        )
    if server.leaving:
        mark_leaving(board, [server.name], 'store')
    if board.backpressure.delisted.relist(server):
        mark_leaving(board, [server.name], 'earlier answer')


def handle_removed_entry(board: ServingBoard, name: str) -> None:
    """Remove a server whose entry is gone, or keep it for a grace period.

    It is kept if the store was unavailable, since entries expire during an
    outage and return after it, or returned from an older copy, since servers
    write again what that lacks.

    :param board: the blackboard.
    :param name: name of its incarnation.
    """
    # No later entry of this era comes from the store's copy.
    removed = board.servers[name]._replace(era=board.store_era)
    board.servers[name] = removed
    board.server_starts[removed.server_id] = removed
    now = read_clock()
    gap = now - board.last_read_at.get(SERVER_KIND, 0)
    # While the first list of an era is applied, the position is an earlier one.
    era, _ = split_position(board.server_state.position)
    may_return = gap >= STORE_OUTAGE_GAP_S or era < board.store_era
    if name in board.leaving or not may_return:
        remove_server(board, name)
        return
    board.expired_until[name] = now + EXPIRED_GRACE_S
    _log('server_lapsed', server=name, not_read_s=round(gap, 3))


def remove_server(board: ServingBoard, name: str) -> None:
    """Remove a server and its state.

    :param board: the blackboard.
    :param name: name of its incarnation.
    """
    for times in (
        board.expired_until,
        board.held_until,
        board.cold_until,
        board.serving_until,
    ):
        times.pop(name, None)
    board.backpressure.last.pop(name, None)
    removed = board.servers.pop(name, None)
    if removed:
        board.server_starts.pop(removed.server_id)
        board.backpressure.removed.record(removed, read_clock())
        if name in board.leaving:
            board.leaving.discard(name)
            board.backpressure.delisted.record(removed, read_clock())
        _log('server_gone', server=name)
