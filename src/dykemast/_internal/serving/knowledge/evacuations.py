"""Keep which halls are being emptied."""

from typing import Final

from dykemast._internal.exceptions import InvalidDataError
from dykemast._internal.models.backend import Evacuations
from dykemast._internal.platform.servers import EVACUATION_KIND
from dykemast._internal.platform.store_types import StoreObject
from dykemast._internal.serving.knowledge.cold_servers import mark_hall_returned
from dykemast._internal.serving.knowledge.updates import Updater
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.events import make_logger

_log = make_logger('backends')

#: Seconds in which changes gather before they are read.
WATCH_PAUSE: Final = 0.3
_SOURCE: Final = 'store'


def make_updater(board: ServingBoard) -> Updater:
    """Make what follows these objects.

    :param board: the blackboard.
    :returns: the follower.
    """
    halls = set(board.evacuations.halls)

    def apply_object(stored: StoreObject) -> None:
        known = board.settings.regions
        if known and stored.name not in known:
            # Kept, it would stand in all news of all routers.
            raise InvalidDataError('there is no such hall.')
        halls.add(stored.name)

    def remove_object(name: str) -> None:
        halls.discard(name)

    def remove_missing(names: set[str]) -> None:
        halls.intersection_update(names)

    def record_revision(revision: int) -> None:
        board.revisions[EVACUATION_KIND] = revision
        apply_evacuations(
            board, Evacuations(revision, frozenset(halls)), _SOURCE
        )

    return Updater(
        EVACUATION_KIND,
        apply_object,
        remove_missing,
        remove_object,
        remove_object,
        record_revision,
        WATCH_PAUSE,
        told={},
    )


def apply_evacuations(
    board: ServingBoard,
    told: Evacuations,
    source: str,
) -> None:
    """Take which halls are emptied, if it is newer than what is known.

    :param board: the blackboard.
    :param told: the halls.
    :param source: who told.
    """
    before = board.evacuations
    if told.revision <= before.revision:
        return
    board.evacuations = told
    for hall in before.halls - told.halls:
        mark_hall_returned(board, hall)
    if told.halls != before.halls:
        _log(
            'halls_emptied',
            halls=sorted(told.halls),
            before=sorted(before.halls),
            revision=told.revision,
            source=source,
        )
