"""Put the newest configuration in force."""

from typing import Any, Final

from dykemast._internal.exceptions import InvalidDataError
from dykemast._internal.operations.stream_origins import (
    compute_stream_time,
)
from dykemast._internal.platform.configuration import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    decode_configuration,
)
from dykemast._internal.platform.store_types import StoreObject, split_position
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.knowledge.updates import Updater
from dykemast._internal.serving.knowledge.cache_freshness import compute_age
from dykemast._internal.utils.events import make_logger
from dykemast._internal.utils.packing import pack, unpack

_log = make_logger('configuration')

#: Batches changes into one call; a change must be in force within 2 s.
WATCH_PAUSE_S: Final = 0.2


def make_updater(board: ServingBoard) -> Updater:
    """Make the updater for the configuration object.

    :param board: the blackboard.
    :returns: the updater.
    """

    def apply_object(stored: StoreObject) -> None:
        if stored.name == CONFIGURATION_NAME:
            apply_configuration(board, stored, 'store')

    def ignore(_: object) -> None:
        """Keep the configuration in force if the object is gone or invalid."""

    def record_position(position: int) -> None:
        board.positions[CONFIGURATION_KIND] = position

    return Updater(
        CONFIGURATION_KIND,
        apply_object,
        ignore,
        ignore,
        ignore,
        record_position,
        WATCH_PAUSE_S,
        logged={},
    )


def apply_configuration(
    board: ServingBoard,
    stored: StoreObject,
    source: str,
) -> None:
    """Put a configuration in force if it is newer.

    :param board: the blackboard.
    :param stored: the object that holds it.
    :param source: the store or a peer, for the log.
    :raises InvalidDataError: when it is invalid.
    """
    table = decode_configuration(stored)
    before = board.get_version()
    if table.version <= before:
        return
    board.table = table
    board.stream_time_s = compute_stream_time(
        route.timeout for route in table.routes.values() if route.resumable
    )
    board.table_changed.set()
    # Builds that know no eras refuse more than three fields.
    board.encoded_table = pack((stored.name, stored.position, stored.spec))
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

    An invalid one is logged, and the current one stays in force.

    :param board: the blackboard.
    :param body: the packed configuration object.
    :param peer: instance of the peer.
    """
    try:
        _decode_and_apply(board, body, peer)
    except InvalidDataError as error:
        _log('configuration_not_usable', peer=peer, reason=str(error))


def _decode_and_apply(board: ServingBoard, body: bytes, peer: str) -> None:
    name, position, spec = unpack(body, tuple[str, int, Any])
    era, revision = split_position(position)
    apply_configuration(board, StoreObject(name, revision, spec, era), peer)
