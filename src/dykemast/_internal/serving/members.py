"""Routers find each other through the store."""

from typing import Final

import msgspec

from dykemast._internal.exceptions import PlatformError
from dykemast._internal.models.fleet import PeerCard
from dykemast._internal.platform.objects import ObjectStore
from dykemast._internal.platform.store_types import StoreObject
from dykemast._internal.serving.board import Peer, ServingBoard
from dykemast._internal.serving.follower import Follower
from dykemast._internal.utils.events import make_logger

_log = make_logger('members')

#: Kind of the objects in which routers list themselves.
MEMBER_KIND: Final = 'dykemast-routers'


def make_follower(board: ServingBoard) -> Follower:
    """Make what follows the list of routers.

    :param board: the blackboard.
    :returns: the follower.
    """

    def take_object(stored: StoreObject) -> None:
        meet_peer(board, msgspec.convert(stored.spec, PeerCard))

    def drop_object(name: str) -> None:
        if board.peers.pop(name, None):
            _log('peer_gone', peer=name)

    def take_names(names: set[str]) -> None:
        for name in set(board.peers) - names:
            drop_object(name)

    return Follower(MEMBER_KIND, take_object, take_names, drop_object)


def meet_peer(board: ServingBoard, card: PeerCard) -> None:
    """Take note of another router, or of its new process.

    :param board: the blackboard.
    :param card: what it tells about itself.
    """
    if card.instance == board.settings.name:
        return
    known = board.peers.get(card.instance)
    if known is None or known.card.incarnation != card.incarnation:
        board.peers[card.instance] = Peer(card)
        _log('peer_new', peer=card.instance, incarnation=card.incarnation)


async def list_self(board: ServingBoard, store: ObjectStore) -> None:
    """Write this router's own entry.

    :param board: the blackboard.
    :param store: the object store.
    :raises PlatformError: when it failed.
    """
    name = board.settings.name
    # There may be the entry of the process before on this instance.
    before = await store.read(MEMBER_KIND, name)
    card = msgspec.to_builtins(board.make_card())
    await store.write(MEMBER_KIND, before._replace(spec=card))


async def unlist_self(board: ServingBoard, store: ObjectStore) -> None:
    """Remove this router's own entry.

    :param board: the blackboard.
    :param store: the object store.
    """
    try:
        await store.delete(MEMBER_KIND, board.settings.name)
    except PlatformError as error:
        # Peers pass over a router that does not answer.
        _log('entry_not_removed', reason=str(error))
