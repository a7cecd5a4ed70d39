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
from dykemast._internal.serving.state.board import ServingBoard, list_heard
from dykemast._internal.serving.state.fleet_size import is_large
from dykemast._internal.serving.knowledge.ages import measure_age
from dykemast._internal.serving.knowledge.follower import Follower, take_listing
from dykemast._internal.serving.knowledge.store_state import (
    note_lost,
    note_regained,
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


class Checked(NamedTuple):
    """A kind whose age is bounded.

    :param follower: takes what is read.
    :param bound: seconds that knowledge may be old.
    """

    follower: Follower
    bound: float


async def keep_fresh(
    board: ServingBoard,
    store: ObjectStore,
    checked: Checked,
) -> None:
    """Read a kind when nobody did for a while, for ever.

    :param board: the blackboard.
    :param store: the object store.
    :param checked: what to read.
    """
    while True:
        if is_due(board, checked):
            await _read(board, store, checked.follower)
        await asyncio.sleep(_PAUSE)


def is_due(board: ServingBoard, checked: Checked) -> bool:
    """Tell whether this router should read a kind now.

    :param board: the blackboard.
    :param checked: the kind, and how old knowledge of it may be.
    :returns: whether it should.
    """
    age = measure_age(board, checked.follower.kind)
    if age <= checked.bound * _choose_first_age(board):
        # It is nobody's turn yet, and whose it is takes a look at all peers.
        return False
    return age > checked.bound * _choose_age(board)


def _choose_age(board: ServingBoard) -> float:
    """Choose when it is this router's turn to read.

    :param board: the blackboard.
    :returns: part of the bound.
    """
    before = (
        peer
        for peer in list_heard(board)
        if peer.card.instance < board.settings.name
    )
    counted = sum(1 for _ in itertools.islice(before, _MAX_TURNS))
    return min(1, _choose_first_age(board) + NEXT_AGE * counted)


def _choose_first_age(board: ServingBoard) -> float:
    return FIRST_AGE_IN_LARGE_FLEET if is_large(board) else FIRST_AGE


async def _read(
    board: ServingBoard,
    store: ObjectStore,
    follower: Follower,
) -> None:
    started = read_clock()
    board.reads_since[follower.kind] = started
    try:
        listing = await store.list_kind(follower.kind)
    except PlatformError as error:
        note_lost(board, follower.kind, error)
        await asyncio.sleep(RETRY_PAUSE)
        return
    finally:
        board.reads_since.pop(follower.kind, None)
    note_regained(board, follower.kind)
    if listing.revision >= board.revisions.get(follower.kind, 0):
        # Else a watch or a peer told more while this was under way.
        take_listing(follower, listing)
    board.checked_at[follower.kind] = started
