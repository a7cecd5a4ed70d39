"""Bound the age of the local copy of store objects by periodic listings.

A watch may miss a change. So one of the routers lists the kind from time to
time, and the others learn from its gossip messages how old their own copy is
at most: each router lists only when no other did so lately.
"""

import asyncio
import itertools
import math
from typing import Final, NamedTuple

from dykemast._internal.exceptions import PlatformError
from dykemast._internal.platform.objects import ObjectStore
from dykemast._internal.serving.state.board import (
    ServingBoard,
    list_live_peers,
    is_large_fleet,
)
from dykemast._internal.serving.knowledge.cache_freshness import compute_age
from dykemast._internal.serving.knowledge.store_answers import (
    record_store_answer,
    record_store_failure,
)
from dykemast._internal.serving.knowledge.updates import (
    Updater,
    apply_listing,
)
from dykemast._internal.utils.clock import read_clock

#: Seconds between two checks.
_CHECK_INTERVAL_S: Final = 0.1
#: Seconds until a failed listing is retried.
RETRY_PAUSE_S: Final = 0.5
#: Age, as a fraction of the bound, at which the first router lists. Each next
#: one waits longer by NEXT_AGE_SHARE, in which gossip reaches it.
FIRST_AGE_SHARE: Final = 0.5
#: Lower in a large fleet, where gossip takes several rounds: routers that learn
#: of a listing after the bound list as well.
FIRST_AGE_SHARE_IN_LARGE_FLEET: Final = 0.3
NEXT_AGE_SHARE: Final = 0.25
#: Preceding routers beyond which the age is the whole bound in any case.
_MAX_PRECEDING: Final = math.ceil(
    (1 - FIRST_AGE_SHARE_IN_LARGE_FLEET) / NEXT_AGE_SHARE
)


class PeriodicRead(NamedTuple):
    """A kind that is listed periodically.

    :param updater: callbacks for the objects.
    :param bound: seconds, the highest age of the local copy.
    """

    updater: Updater
    bound: float


async def read_periodically(
    board: ServingBoard,
    store: ObjectStore,
    periodic_read: PeriodicRead,
) -> None:
    """List a kind whenever no router did so lately; never returns.

    :param board: the blackboard.
    :param store: the object store.
    :param periodic_read: the kind, and the bound of its age.
    """
    while True:
        if is_read_due(board, periodic_read):
            await _read(board, store, periodic_read.updater)
        await asyncio.sleep(_CHECK_INTERVAL_S)


def is_read_due(board: ServingBoard, periodic_read: PeriodicRead) -> bool:
    """Tell whether this router should list a kind now.

    :param board: the blackboard.
    :param periodic_read: the kind, and the bound of its age.
    :returns: whether it should.
    """
    age = compute_age(board, periodic_read.updater.kind)
    if age <= periodic_read.bound * _choose_first_age(board):
        # No router is due yet, and to find out which one is iterates over all
        # peers.
        return False
    return age > periodic_read.bound * _choose_age(board)


def _choose_age(board: ServingBoard) -> float:
    """Choose the age at which this router lists.

    :param board: the blackboard.
    :returns: fraction of the bound.
    """
    before = (
        peer
        for peer in list_live_peers(board)
        if peer.card.instance < board.settings.name
    )
    counted = sum(1 for _ in itertools.islice(before, _MAX_PRECEDING))
    return min(1, _choose_first_age(board) + NEXT_AGE_SHARE * counted)


def _choose_first_age(board: ServingBoard) -> float:
    return (
        FIRST_AGE_SHARE_IN_LARGE_FLEET
        if is_large_fleet(board)
        else FIRST_AGE_SHARE
    )


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
        await asyncio.sleep(RETRY_PAUSE_S)
        return
    finally:
        board.read_started_at.pop(updater.kind, None)
    record_store_answer(board, updater.kind)
    if listing.position >= board.positions.get(updater.kind, 0):
        # Otherwise a watch or a peer has applied newer changes meanwhile.
        apply_listing(updater, listing)
    board.last_read_at[updater.kind] = started
