"""Endpoints besides the routes: entry, readiness and metrics."""

import random
from typing import Any, Final

from dykemast._internal.models.deployment import Endpoint
from dykemast._internal.operations.entry_choice import (
    EntryOption,
    choose_entries,
    filter_by_region,
)
from dykemast._internal.platform.entry_messages import (
    EntryQuestion,
    decode_entry_question,
    encode_entry,
)
from dykemast._internal.platform.configuration import CONFIGURATION_KIND
from dykemast._internal.platform.servers import EVACUATION_KIND, SERVER_KIND
from dykemast._internal.serving.knowledge.cache_freshness import (
    get_configuration_freshness,
    get_evacuations_freshness,
    get_servers_freshness,
)
from dykemast._internal.serving.state.board import (
    Peer,
    ServingBoard,
    list_live_peers,
)
from dykemast._internal.serving.state.quarantines import is_crash_table_current
from dykemast._internal.serving.members.own_entry import compute_entry_ttl
from dykemast._internal.serving.state.monitoring import render_metrics
from dykemast._internal.serving.parts import Parts
from dykemast._internal.serving.process.description import describe_state
from dykemast._internal.serving.requests.responder import (
    Receive,
    Responder,
    Send,
)
from dykemast._internal.serving.members.load_measurement import (
    measure_router_load,
)
from dykemast._internal.utils.clock import read_clock

#: Bound on the addresses in one entry response.
MAX_ADDRESSES: Final = 64
_OK: Final = 200
_NOT_READY: Final = 503
_JSON: Final = (b'content-type', b'application/json')
_TEXT: Final = (b'content-type', b'text/plain; version=0.0.4')


def make_endpoint_application(parts: Parts) -> Any:
    """Make the application for the entry, readiness and metrics listeners.

    :param parts: parts of the program.
    :returns: the ASGI application.
    """

    async def application(scope: Any, receive: Receive, send: Send) -> None:
        responder = Responder(send, bool)
        port = scope['server'][1]
        listeners = parts.board.settings.listeners
        if port == listeners.entry.port:
            await _answer_entry(parts.board, scope, responder)
        elif port == listeners.metrics.port:
            await _answer_metrics(parts, responder)
        else:
            ready = is_ready(parts.board)
            await responder.answer(_OK if ready else _NOT_READY, [], b'')

    return application


def is_ready(board: ServingBoard) -> bool:
    """Tell whether this router is ready for requests.

    A router whose background loop keeps failing may serve outdated data.

    :param board: the blackboard.
    :returns: whether it is.
    """
    if board.table is None or board.stopping:
        return False
    if get_evacuations_freshness(board).outdated:
        # The list of evacuated halls has not been read, or is too old.
        return False
    copies = {
        CONFIGURATION_KIND: get_configuration_freshness(board),
        SERVER_KIND: get_servers_freshness(board),
        EVACUATION_KIND: get_evacuations_freshness(board),
    }
    has_read = all(
        kind in board.last_read_at or copy.may_serve()
        for kind, copy in copies.items()
    )
    if not (has_read and is_crash_table_current(board)):
        # Each request would be refused.
        return False
    return not board.loops.list_failing(read_clock())


async def _answer_entry(
    board: ServingBoard,
    scope: Any,
    responder: Responder,
) -> None:
    question = decode_entry_question(scope)
    addresses = _list_addresses(board, question)
    if not question.host or not addresses:
        await responder.answer(_NOT_READY, [], b'')
        return
    ttl = compute_entry_ttl(board)
    await responder.answer(_OK, [_JSON], encode_entry(addresses, ttl))


def _list_addresses(
    board: ServingBoard,
    question: EntryQuestion,
) -> list[Endpoint]:
    allowed_regions = (
        board.table.list_allowed_regions(question.host) if board.table else []
    )
    near = filter_by_region(
        _list_options(board), allowed_regions, question.region
    )
    chosen = choose_entries(near, MAX_ADDRESSES, random.sample)
    return [one.address for one in chosen]


def _list_options(board: ServingBoard) -> list[EntryOption]:
    # If no peer is live, this router is more likely to be isolated than all
    # others to be gone.
    peers = list(list_live_peers(board)) or list(board.peers.values())
    options = [
        _describe_peer(board, peer)
        for peer in peers
        if not peer.card.leaving and peer.card.revision
    ]
    if is_ready(board):
        own = board.settings.listeners.caller
        region = board.settings.regions.get(board.settings.hall, '')
        options.append(EntryOption(own, measure_router_load(board), region))
    return options


def _describe_peer(board: ServingBoard, peer: Peer) -> EntryOption:
    address = Endpoint(peer.card.host, peer.card.caller_port)
    region = board.settings.regions.get(peer.card.hall, '')
    return EntryOption(address, peer.router_load, region)


async def _answer_metrics(parts: Parts, responder: Responder) -> None:
    body = render_metrics(parts.metrics, describe_state(parts))
    await responder.answer(_OK, [_TEXT], body)
