"""Routers find each other through the store."""

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
    register_self,
)
from dykemast._internal.serving.state.board import Peer, ServingBoard
from dykemast._internal.utils.events import make_logger

_log = make_logger('members')

#: Seconds between two tries to list this router.
RETRY_PAUSE_S: Final = 0.5
#: Seconds until all routers that start together are listed.
START_PAUSE_S: Final = 1.5
#: Seconds between two reads of the list later on: each is a priced call, and
#: silence of a router that left is noticed without it.
READ_PAUSE: Final = 15.0
#: Seconds a peer by which that is longer, so that the calls of a large fleet
#: are no more than those of a small one.
READ_PAUSE_PER_PEER: Final = 2.0


async def keep_registered(board: ServingBoard, store: ObjectStore) -> None:
    """List this router in the store, and read who else is listed, for ever.

    Whoever starts later meets all others by news; so reading is needed for
    those that start at the same time, and to forget those that left.

    :param board: the blackboard.
    :param store: the object store.
    """
    await _list_in_time(board, store)
    if board.settings.first_start:
        # Later on those that start together find each other's old entries.
        await _try(refresh_peers(board, store))
        await asyncio.sleep(START_PAUSE_S)
    while True:
        await _try(refresh_peers(board, store))
        per_peer = READ_PAUSE_PER_PEER * len(board.peers)
        await asyncio.sleep(max(READ_PAUSE, per_peer))


async def _list_in_time(board: ServingBoard, store: ObjectStore) -> None:
    while not board.stopping and not await _try(register_self(board, store)):
        await asyncio.sleep(RETRY_PAUSE_S)


def record_peer(board: ServingBoard, card: PeerCard) -> None:
    """Take note of another router, or of its new process.

    :param board: the blackboard.
    :param card: what it tells about itself.
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
    """Read which routers are listed, and forget those that are not.

    :param board: the blackboard.
    :param store: the object store.
    :raises PlatformError: when it failed.
    """
    listing = await store.list_kind(MEMBER_KIND)
    for stored in listing.found:
        _meet_listed(board, stored)
    board.peers_read.set()
    listed = {one.name for one in listing.found}
    if board.settings.name not in listed and not board.stopping:
        # A removal by the process before may take effect late.
        await register_self(board, store)
    for name in set(board.peers) - listed:
        board.peers.pop(name)
        _log('peer_gone', peer=name)


def _meet_listed(board: ServingBoard, stored: StoreObject) -> None:
    try:
        record_peer(board, decode_card(stored))
    except InvalidDataError as error:
        _log('member_not_usable', name=stored.name, reason=str(error))


async def _try(work: Coroutine[Any, Any, None]) -> bool:
    try:
        await work
    except PlatformError as error:
        _log('members_not_read', reason=str(error))
        return False
    return True


async def deregister_self(board: ServingBoard, store: ObjectStore) -> None:
    """Remove this router's own entry, however long the store is away.

    :param board: the blackboard.
    :param store: the object store.
    """
    # Until then, peers pass over a router that does not answer.
    while not await _try(store.delete(MEMBER_KIND, board.settings.name)):
        await asyncio.sleep(RETRY_PAUSE_S)
