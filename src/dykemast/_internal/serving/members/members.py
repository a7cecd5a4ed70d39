"""Discovery of routers through their entries in the store."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final

from dykemast._internal.exceptions import InvalidDataError, PlatformError
from dykemast._internal.models.fleet import PeerCard
from dykemast._internal.platform.member_cards import decode_card
from dykemast._internal.platform.objects import ObjectStore
from dykemast._internal.platform.store_types import StoreObject
from dykemast._internal.serving.members.own_entry import (
    MEMBER_KIND,
    is_lost_before,
    may_register_again,
    register_self,
)
from dykemast._internal.serving.state.board import Peer, ServingBoard
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('members')

#: Seconds between two attempts to write or remove the own entry.
RETRY_PAUSE_S: Final = 0.5
#: Seconds until all routers that start together have written their entries.
START_PAUSE_S: Final = 1.5
#: Seconds between two later listings: each is a billed call, and a router that
#: left is noticed by its silence.
REFRESH_INTERVAL_S: Final = 15.0
#: Seconds per peer, if that gives a longer interval, so that a large fleet
#: makes no more calls than a small one.
REFRESH_INTERVAL_PER_PEER_S: Final = 2.0


async def keep_registered(board: ServingBoard, store: ObjectStore) -> None:
    """Register this router in the store and refresh its peers; never returns.

    A router that starts later reaches all others by gossip. Listings are
    needed for routers that start at the same time, and to remove those that
    left.

    :param board: the blackboard.
    :param store: the object store.
    """
    await _register_with_retries(board, store)
    # At later starts the entries of the previous processes are listed.
    lists_soon = board.settings.first_start
    while True:
        await _run_logged(refresh_peers(board, store))
        per_peer = REFRESH_INTERVAL_PER_PEER_S * len(board.peers)
        pause = max(REFRESH_INTERVAL_S, per_peer)
        if lists_soon:
            pause = START_PAUSE_S
            lists_soon = False
        until = read_clock() + pause
        while await is_lost_before(board, until):
            await _register_with_retries(board, store)


async def _register_with_retries(
    board: ServingBoard, store: ObjectStore
) -> None:
    while not board.stopping and not await _run_logged(
        register_self(board, store)
    ):
        await asyncio.sleep(RETRY_PAUSE_S)


def record_peer(board: ServingBoard, card: PeerCard) -> None:
    """Record another router, or its new process.

    :param board: the blackboard.
    :param card: its description of itself.
    """
    if card.instance == board.settings.name:
        return
    known = board.peers.get(card.instance)
    if known is None or known.card.incarnation != card.incarnation:
        board.peers[card.instance] = Peer(card)
        _log(
            'peer_new',
            peer=card.instance,
            peer_incarnation=card.incarnation,
        )


async def refresh_peers(board: ServingBoard, store: ObjectStore) -> None:
    """List the registered routers, and remove peers that are not registered.

    :param board: the blackboard.
    :param store: the object store.
    :raises PlatformError: when a call to the store failed.
    """
    listing = await store.list_kind(MEMBER_KIND)
    for stored in listing.found:
        _record_listed(board, stored)
    board.peers_read.set()
    listed = {one.name for one in listing.found}
    if board.settings.name not in listed and not board.stopping:
        # A deletion by the previous process may take effect late.
        await register_self(board, store)
    for name in set(board.peers) - listed:
        if may_register_again(board, board.peers[name]):
            continue
        board.peers.pop(name)
        _log('peer_gone', peer=name)


def _record_listed(board: ServingBoard, stored: StoreObject) -> None:
    try:
        record_peer(board, decode_card(stored))
    except InvalidDataError as error:
        _log('member_not_usable', name=stored.name, reason=str(error))


async def _run_logged(work: Coroutine[Any, Any, None]) -> bool:
    try:
        await work
    except PlatformError as error:
        _log('members_not_read', reason=str(error))
        return False
    return True


async def deregister_self(board: ServingBoard, store: ObjectStore) -> None:
    """Remove this router's own entry; retries until the store answers.

    :param board: the blackboard.
    :param store: the object store.
    """
    # Until then, peers skip this router because it does not answer.
    while not await _run_logged(store.delete(MEMBER_KIND, board.settings.name)):
        await asyncio.sleep(RETRY_PAUSE_S)
