"""Other routers that know of streams, and of the servers that write them."""

import asyncio
from collections.abc import Iterator
from typing import Final

from dykemast._internal.exceptions import InvalidDataError, PeerError
from dykemast._internal.operations.record_replicas import (
    MAX_ASKED,
    REPLICAS,
    Candidate,
    choose_writers,
    rank_replicas,
)
from dykemast._internal.serving.knowledge.stream_replicas import apply_found
from dykemast._internal.serving.members.gossip import Gossip
from dykemast._internal.serving.members.load_measurement import (
    measure_router_load,
)
from dykemast._internal.serving.state.board import (
    Peer,
    ServingBoard,
    list_live_peers,
)
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger
from dykemast._internal.utils.packing import pack, unpack

_log = make_logger('streams')

#: Seconds between two choices of the writers, each of which goes through all
#: routers.
CHOICE_INTERVAL_S: Final = 0.2


def list_replicas(
    board: ServingBoard, key: str, count: int = REPLICAS
) -> list[Peer]:
    """List the other routers that keep a replica of a stream's origin.

    :param board: shared state of the router.
    :param key: key of the stream.
    :param count: number of routers at most.
    :returns: the routers, the first replica first.
    """
    now = read_clock()
    if now > board.writers.chosen_at + CHOICE_INTERVAL_S:
        chosen = choose_writers(_list_candidates(board))
        board.writers = board.writers._replace(
            names=tuple(chosen), chosen_at=now
        )
    ranked = rank_replicas(key, board.writers.names, board.settings.name)
    known = [board.peers[name] for name in ranked if name in board.peers]
    return known[:count]


async def ask_replicas(board: ServingBoard, gossip: Gossip, key: str) -> bool:
    """Ask other routers where a stream began, and record it.

    :param board: shared state of the router.
    :param gossip: calls the other routers.
    :param key: key of the stream.
    :returns: whether one of them knew it.
    """
    peers = list_replicas(board, key, MAX_ASKED)
    asked = [_ask(board, gossip, peer, key) for peer in peers]
    for answer in asyncio.as_completed(asked):
        if await answer:
            return True
    return False


async def _ask(
    board: ServingBoard, gossip: Gossip, peer: Peer, key: str
) -> bool:
    try:
        body = await gossip.call(peer.card, 'find_stream', key)
    except PeerError as error:
        _log('stream_not_asked', key=key, reason=str(error))
        return False
    return apply_found(board, body)


async def ask_broken(
    board: ServingBoard, gossip: Gossip, servers: list[str]
) -> set[str] | None:
    """Ask other routers which servers may have been started again.

    :param board: shared state of the router.
    :param gossip: calls the other routers.
    :param servers: names of their incarnations.
    :returns: those that any of the routers reports; None if none answered.
    """
    peers = list_replicas(board, ' '.join(servers), MAX_ASKED)
    asked = [_ask_broken(gossip, peer, servers) for peer in peers]
    reports = [one for one in await asyncio.gather(*asked) if one is not None]
    return set().union(*reports) if reports else None


async def _ask_broken(
    gossip: Gossip, peer: Peer, servers: list[str]
) -> list[str] | None:
    try:
        return unpack(
            await gossip.call(peer.card, 'list_broken', pack(servers)),
            list[str],
        )
    except (InvalidDataError, PeerError) as error:
        instance = peer.card.instance
        _log('servers_not_asked', peer=instance, reason=str(error))
        return None


def _list_candidates(board: ServingBoard) -> Iterator[Candidate]:
    if not board.stopping:
        capacity = measure_router_load(board).capacity
        yield Candidate(board.settings.name, capacity)
    for peer in list_live_peers(board):
        if not peer.card.leaving:
            yield Candidate(peer.card.instance, peer.router_load.capacity)
