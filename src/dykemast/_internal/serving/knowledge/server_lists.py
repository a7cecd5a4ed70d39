"""Exchange the list of backend servers between routers."""

from typing import Any

from dykemast._internal.exceptions import InvalidDataError
from dykemast._internal.models.gossip import ListState
from dykemast._internal.platform.store_types import (
    Listing,
    StoreObject,
    split_position,
)
from dykemast._internal.serving.knowledge.server_entries import make_updater
from dykemast._internal.serving.knowledge.store_answers import note_era
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.knowledge.updates import apply_listing
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger
from dykemast._internal.utils.packing import pack, unpack

_log = make_logger('backends')

#: Name, position and content of an object. Builds that know no eras take the
#: position for a revision, and refuse more than three fields.
_SentObject = tuple[str, int, Any]
#: Objects, and the position of the list.
_SentList = tuple[list[_SentObject], int]


def is_behind(board: ServingBoard, state: ListState) -> bool:
    """Tell whether a peer has a newer list with other contents.

    :param board: the blackboard.
    :param state: position and digest of the peer's list.
    :returns: whether the list should be fetched.
    """
    own = board.server_state
    return state.position > own.position and state.digest != own.digest


def encode_newer(board: ServingBoard, above: int) -> bytes:
    """Encode the list for a peer.

    :param board: the blackboard.
    :param above: position of the peer's list.
    :returns: the packed listing; empty when this router has no newer one.
    """
    position = board.server_state.position
    if position <= above:
        return b''
    sent = [_make_sent(stored) for stored in board.server_objects.values()]
    return pack((sent, position))


def encode_broken(board: ServingBoard, body: bytes) -> bytes:
    """Encode which servers may have been started again, for a peer.

    :param board: the blackboard.
    :param body: the packed names of the incarnations that the peer asks about.
    :returns: the packed names of those that crashed, at which a send of this
        router has just broken, or that it does not list; empty if the body is
        invalid, which is logged.
    """
    try:
        names = unpack(body, list[str])
    except InvalidDataError as error:
        _log('servers_not_usable', name='peer', reason=str(error))
        return b''
    broken = {
        *board.broken.times.list_recent(read_clock()),
        *board.crashes.crashes,
    }
    return pack(
        [name for name in names if name in broken or name not in board.servers]
    )


def apply_peer_copy(board: ServingBoard, body: bytes, peer: str) -> None:
    """Apply a peer's list if it is newer.

    An invalid one is logged, and the current list stays in force.

    :param board: the blackboard.
    :param body: the packed listing.
    :param peer: instance of the peer.
    """
    try:
        sent, position = unpack(body, _SentList)
    except InvalidDataError as error:
        _log('servers_not_usable', peer=peer, reason=str(error))
        return
    era, revision = split_position(position)
    note_era(board, era, peer)
    if position <= board.server_state.position or era < board.store_era:
        return
    listing = Listing([_read_sent(one) for one in sent], position)
    apply_listing(make_updater(board), listing)
    _log(
        'servers_from_peer',
        peer=peer,
        era=era,
        revision=revision,
        servers=len(sent),
    )


def _make_sent(stored: StoreObject) -> _SentObject:
    return stored.name, stored.position, stored.spec


def _read_sent(sent: _SentObject) -> StoreObject:
    name, position, spec = sent
    era, revision = split_position(position)
    return StoreObject(name, revision, spec, era)
