"""Maintain the list of evacuated halls."""

from typing import Final

from dykemast._internal.exceptions import InvalidDataError
from dykemast._internal.models.backend import Evacuations
from dykemast._internal.platform.servers import EVACUATION_KIND
from dykemast._internal.platform.store_types import StoreObject, split_position
from dykemast._internal.serving.knowledge.backends import EXPIRED_GRACE_S
from dykemast._internal.serving.knowledge.cold_servers import mark_hall_returned
from dykemast._internal.serving.knowledge.updates import Updater
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('backends')

#: Batches changes into one call.
WATCH_PAUSE_S: Final = 0.3
_SOURCE: Final = 'store'


def make_updater(board: ServingBoard) -> Updater:
    """Make the updater for evacuation objects.

    :param board: the blackboard.
    :returns: the updater.
    """
    halls = set(board.evacuations.halls)

    def apply_object(stored: StoreObject) -> None:
        known = board.settings.regions
        if known and stored.name not in known:
            # If kept, the name would be part of every gossip message.
            raise InvalidDataError('the deployment has no hall of this name.')
        halls.add(stored.name)
        board.evacuated_until.pop(stored.name, None)

    def remove_object(name: str) -> None:
        halls.discard(name)
        board.evacuated_until.pop(name, None)

    def remove_missing(names: set[str]) -> None:
        halls.intersection_update(names)

    def record_position(position: int) -> None:
        board.positions[EVACUATION_KIND] = position
        apply_evacuations(
            board, Evacuations(position, frozenset(halls)), _SOURCE
        )

    return Updater(
        EVACUATION_KIND,
        apply_object,
        remove_missing,
        remove_object,
        remove_object,
        record_position,
        WATCH_PAUSE_S,
        logged={},
    )


def apply_evacuations(
    board: ServingBoard,
    received: Evacuations,
    source: str,
) -> None:
    """Apply a list of evacuated halls if it is newer than the current one.

    Halls that are missing because the store returned from an older copy stay
    for a grace period, since operators write again what that lacks.

    :param board: the blackboard.
    :param received: the halls, and the position of the list.
    :param source: the store or a peer, for the log.
    """
    before = board.evacuations
    if not _is_newer(received, before, source):
        return
    _keep_halls(board, received, source)
    halls = received.halls | _list_kept(board)
    board.evacuations = Evacuations(received.position, halls)
    for hall in before.halls - halls:
        mark_hall_returned(board, hall)
    if halls != before.halls:
        era, revision = split_position(received.position)
        _log(
            'halls_emptied',
            halls=sorted(halls),
            before=sorted(before.halls),
            era=era,
            revision=revision,
            source=source,
        )


def _is_newer(received: Evacuations, known: Evacuations, source: str) -> bool:
    if source == _SOURCE and received.position == known.position:
        # The same list, after the time for which halls were kept.
        return True
    return received.position > known.position


def _keep_halls(
    board: ServingBoard, received: Evacuations, source: str
) -> None:
    """Keep the halls known before the store returned from an older copy."""
    before = board.evacuations
    if _find_era(received) == _find_era(before):
        return
    # A peer's list may have halls only because the peer keeps them.
    listed = received.halls if source == _SOURCE else frozenset()
    until = read_clock() + EXPIRED_GRACE_S
    board.evacuated_until = dict.fromkeys(before.halls - listed, until)


def _find_era(evacuations: Evacuations) -> int:
    return split_position(evacuations.position)[0]


def _list_kept(board: ServingBoard) -> set[str]:
    now = read_clock()
    return {
        hall for hall, until in board.evacuated_until.items() if now < until
    }
