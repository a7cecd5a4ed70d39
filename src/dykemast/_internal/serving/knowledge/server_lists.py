"""Pass the list of backend servers from router to router."""

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
    """Tell whether a peer knows a newer list that differs.

    :param board: the blackboard.
    :param state: what the peer knows.
    :returns: whether it should be fetched.
    """
    own = board.server_state
    return state.revision > own.revision and state.digest != own.digest


def encode_newer(board: ServingBoard, above: int) -> bytes:
    """Write the list for a peer.

    :param board: the blackboard.
    :param above: revision that the peer knows.
    :returns: the body; empty when this router knows no newer one.
    """
    revision = board.server_state.revision
    if revision <= above:
        return b''
    listing = Listing(list(board.server_objects.values()), revision)
    return pack(listing)


def apply_peer_copy(board: ServingBoard, body: bytes, peer: str) -> None:
    """Take a peer's list if it is newer.

    One that makes no sense is logged; the list before stays in force.

    :param board: the blackboard.
    :param body: as the peer wrote it.
    :param peer: its instance.
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
