"""Exchange the list of backend servers between routers."""

from dykemast._internal.exceptions import InvalidDataError
from dykemast._internal.models.gossip import ListState
from dykemast._internal.platform.store_types import Listing
from dykemast._internal.serving.knowledge.server_entries import make_updater
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.knowledge.updates import apply_listing
from dykemast._internal.utils.events import make_logger
from dykemast._internal.utils.packing import pack, unpack

_log = make_logger('backends')


def is_behind(board: ServingBoard, state: ListState) -> bool:
    """Tell whether a peer has a newer list with other contents.

    :param board: the blackboard.
    :param state: revision and digest of the peer's list.
    :returns: whether the list should be fetched.
    """
    own = board.server_state
    return state.revision > own.revision and state.digest != own.digest


def encode_newer(board: ServingBoard, above: int) -> bytes:
    """Encode the list for a peer.

    :param board: the blackboard.
    :param above: revision of the peer's list.
    :returns: the packed listing; empty when this router has no newer one.
    """
    revision = board.server_state.revision
    if revision <= above:
        return b''
    listing = Listing(list(board.server_objects.values()), revision)
    return pack(listing)


def apply_peer_copy(board: ServingBoard, body: bytes, peer: str) -> None:
    """Apply a peer's list if it is newer.

    An invalid one is logged, and the current list stays in force.

    :param board: the blackboard.
    :param body: the packed listing.
    :param peer: instance of the peer.
    """
    try:
        listing = unpack(body, Listing)
    except InvalidDataError as error:
        _log('servers_not_usable', peer=peer, reason=str(error))
        return
    if listing.revision > board.server_state.revision:
        apply_listing(make_updater(board), listing)
        _log(
            'servers_from_peer',
            peer=peer,
            revision=listing.revision,
            servers=len(listing.found),
        )
