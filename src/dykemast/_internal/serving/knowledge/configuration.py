"""Keep the newest configuration in force."""

from typing import Final

from dykemast._internal.exceptions import InvalidDataError
from dykemast._internal.platform.configuration import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    decode_configuration,
)
from dykemast._internal.platform.store_types import StoreObject
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.knowledge.updates import Updater
from dykemast._internal.serving.knowledge.ages import compute_age
from dykemast._internal.utils.events import make_logger
from dykemast._internal.utils.packing import pack, unpack

_log = make_logger('configuration')

#: Seconds in which changes gather; users allow 2 s until one is in force.
WATCH_PAUSE: Final = 0.2


def make_updater(board: ServingBoard) -> Updater:
    """Make what follows the configuration object.

    :param board: the blackboard.
    :returns: the follower.
    """

    def apply_object(stored: StoreObject) -> None:
        if stored.name == CONFIGURATION_NAME:
            apply_configuration(board, stored, 'store')

    def ignore(_: object) -> None:
        """Keep a configuration in force that is gone, or not usable now."""

    def record_revision(revision: int) -> None:
        board.revisions[CONFIGURATION_KIND] = revision

    return Updater(
        CONFIGURATION_KIND,
        apply_object,
        ignore,
        ignore,
        ignore,
        record_revision,
        WATCH_PAUSE,
        told={},
    )


def apply_configuration(
    board: ServingBoard,
    stored: StoreObject,
    source: str,
) -> None:
    """Put a configuration in force if it is newer.

    :param board: the blackboard.
    :param stored: the object that holds it.
    :param source: where it came from.
    :raises NotUsableError: when it makes no sense.
    """
    table = decode_configuration(stored)
    before = board.get_version()
    if table.version <= before:
        return
    board.table = table
    board.table_changed.set()
    board.encoded_table = pack(stored)
    _log(
        'configuration_in_force',
        version=table.version,
        before=before,
        revision=stored.revision,
        source=source,
        known_s=round(compute_age(board, CONFIGURATION_KIND), 3),
        routes=len(table.routes),
        workspaces=len(table.workspaces),
    )


def apply_peer_copy(board: ServingBoard, body: bytes, peer: str) -> None:
    """Put a peer's configuration in force if it is newer.

    One that makes no sense is logged; the one before stays in force.

    :param board: the blackboard.
    :param body: as the peer keeps it.
    :param peer: its instance.
    """
    try:
        _decode_and_take(board, body, peer)
    except InvalidDataError as error:
        _log('configuration_not_usable', peer=peer, reason=str(error))


def _decode_and_take(board: ServingBoard, body: bytes, peer: str) -> None:
    apply_configuration(board, unpack(body, StoreObject), peer)
