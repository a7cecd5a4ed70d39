"""Make sure that what is known of the store is not older than a bound.

A watch may be silent although something changed. So some router reads the
kind from time to time, and all others learn from its news how old their own
knowledge is at the most: each reads only when nobody did for a while.
"""

import asyncio
import itertools
import math
from typing import Final, NamedTuple

from dykemast._internal.exceptions import PlatformError
from dykemast._internal.platform.objects import ObjectStore
from dykemast._internal.serving.state.board import ServingBoard, list_live_peers
from dykemast._internal.serving.state.fleet_size import is_large_fleet
from dykemast._internal.serving.knowledge.ages import compute_age
from dykemast._internal.serving.knowledge.updates import Updater, apply_listing
from dykemast._internal.serving.knowledge.store_state import (
    record_store_failure,
    record_store_answer,
)
from dykemast._internal.utils.clock import read_clock

#: Seconds between two looks.
_PAUSE: Final = 0.1
#: Seconds before another try after a failure.
RETRY_PAUSE: Final = 0.5
#: Age, as a part of the bound, at which the first router reads, and by which
#: each of the next waits longer: news of it take about 0.3 s.
FIRST_AGE: Final = 0.5
#: The same where news reach the last router after some three rounds: with 0.7
#: s of 1.4 s gone before the first one reads, who hears late passes the bound
#: and reads as well.
FIRST_AGE_IN_LARGE_FLEET: Final = 0.3
NEXT_AGE: Final = 0.25
#: Routers before this one beyond which it makes no difference how many.
_MAX_TURNS: Final = math.ceil((1 - FIRST_AGE_IN_LARGE_FLEET) / NEXT_AGE)


class PeriodicRead(NamedTuple):
    """A kind whose age is bounded.

    :param updater: takes what is read.
    :param bound: seconds that knowledge may be old.
    """

    updater: Updater
    bound: float


async def read_periodically(
    board: ServingBoard,
    store: ObjectStore,
    periodic_read: PeriodicRead,
) -> None:
    """Read a kind when nobody did for a while, for ever.

    :param board: the blackboard.
    :param store: the object store.
    :param periodic_read: what to read.
    """
    while True:
        if is_read_due(board, periodic_read):
            await _read(board, store, periodic_read.updater)
        await asyncio.sleep(_PAUSE)


def is_read_due(board: ServingBoard, periodic_read: PeriodicRead) -> bool:
    """Tell whether this router should read a kind now.

    :param board: the blackboard.
    :param periodic_read: the kind, and how old knowledge of it may be.
    :returns: whether it should.
    """
    age = compute_age(board, periodic_read.updater.kind)
    if age <= periodic_read.bound * _choose_first_age(board):
        # It is nobody's turn yet, and whose it is takes a look at all peers.
        return False
    return age > periodic_read.bound * _choose_age(board)


def _choose_age(board: ServingBoard) -> float:
    """Choose when it is this router's turn to read.

    :param board: the blackboard.
    :returns: part of the bound.
    """
    before = (
        peer
        for peer in list_live_peers(board)
        if peer.card.instance < board.settings.name
    )
    counted = sum(1 for _ in itertools.islice(before, _MAX_TURNS))
    return min(1, _choose_first_age(board) + NEXT_AGE * counted)


def _choose_first_age(board: ServingBoard) -> float:
    return FIRST_AGE_IN_LARGE_FLEET if is_large_fleet(board) else FIRST_AGE


async def _read(
    board: ServingBoard,
    store: ObjectStore,
    updater: Updater,
) -> None:
    started = read_clock()
    board.read_started_at[updater.kind] = started
    try:
        listing = await store.list_kind(updater.kind)
    except PlatformError as error:
        record_store_failure(board, updater.kind, error)
        await asyncio.sleep(RETRY_PAUSE)
        return
    finally:
        board.read_started_at.pop(updater.kind, None)
    record_store_answer(board, updater.kind)
    if listing.revision >= board.revisions.get(updater.kind, 0):
        # Else a watch or a peer told more while this was under way.
        apply_listing(updater, listing)
    board.last_read_at[updater.kind] = started
