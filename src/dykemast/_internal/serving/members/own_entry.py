"""This router's own entry in the list of routers, and in entry answers."""

import asyncio
import random
from typing import Final

import msgspec

from dykemast._internal.exceptions import (
    MissingObjectError,
    VersionConflictError,
)
from dykemast._internal.models.fleet import PeerCard
from dykemast._internal.platform.objects import ObjectStore
from dykemast._internal.platform.store_types import ANY_REVISION, StoreObject
from dykemast._internal.serving.state.board import (
    Peer,
    ServingBoard,
    is_silent,
)
from dykemast._internal.utils.clock import read_clock

#: Kind of the objects by which routers register.
MEMBER_KIND: Final = 'dykemast-routers'
#: Long enough that callers ask rarely, short enough that they leave a router
#: that stops in time.
ENTRY_TTL_S: Final = 1.5
#: Seconds between two checks whether the store returned from an older copy.
ERA_CHECK_INTERVAL_S: Final = 0.5
#: Seconds per router over which all write their entries again.
WRITE_SPREAD_PER_ROUTER_S: Final = 0.02
#: Seconds for which live peers are kept that the copy lacks, more than all take
#: to write their entries again.
REGISTRATION_GRACE_S: Final = 15.0


def make_card(board: ServingBoard) -> PeerCard:
    """Describe this router for its peers.

    :param board: the blackboard.
    :returns: its card.
    """
    listeners = board.settings.listeners
    return PeerCard(
        instance=board.settings.name,
        incarnation=board.incarnation,
        hall=board.settings.hall,
        host=listeners.caller.host,
        caller_port=listeners.caller.port,
        peer_port=listeners.peer.port,
        revision=board.get_version(),
        inflight=board.inflight,
        leaving=board.stopping,
    )


async def register_self(board: ServingBoard, store: ObjectStore) -> None:
    """Write this router's own entry.

    At a restart the entry of the previous process usually exists, and at the
    first start of all routers it does not. Trying the likely case first makes
    one call enough for most starts.

    :param board: the blackboard.
    :param store: the object store.
    :raises PlatformError: when a call to the store failed.
    """
    card = msgspec.to_builtins(make_card(board))
    created = StoreObject(board.settings.name, 0, card)
    replaced = created._replace(revision=ANY_REVISION)
    if board.settings.first_start:
        written = await _write(store, created, replaced)
    else:
        written = await _write(store, replaced, created)
    board.registered_era = written.era


async def is_lost_before(board: ServingBoard, until: float) -> bool:
    """Wait until the store returned from an older copy, or for some time.

    Routers go on at different moments, so that they do not all write at once.

    :param board: the blackboard.
    :param until: seconds at which to stop waiting.
    :returns: whether the store may have lost the entry of this router.
    """
    while read_clock() < until:
        await asyncio.sleep(min(ERA_CHECK_INTERVAL_S, until - read_clock()))
        if board.registered_era < board.store_era and not board.stopping:
            spread = WRITE_SPREAD_PER_ROUTER_S * (1 + len(board.peers))
            await asyncio.sleep(random.uniform(0, spread))
            return True
    return False


def may_register_again(board: ServingBoard, peer: Peer) -> bool:
    """Tell whether only the store's older copy lacks the entry of a peer.

    :param board: the blackboard.
    :param peer: the peer.
    :returns: whether it is live, and has had little time to write it again.
    """
    known_for = read_clock() - board.store_era_at
    return known_for < REGISTRATION_GRACE_S and not is_silent(board, peer)


def compute_entry_ttl(board: ServingBoard) -> float:
    """Compute how long callers may cache an entry answer.

    :param board: the blackboard.
    :returns: seconds.
    """
    return min(ENTRY_TTL_S, board.settings.bounds.max_entry_ttl)


async def _write(
    store: ObjectStore,
    likely: StoreObject,
    other: StoreObject,
) -> StoreObject:
    try:
        return await store.write(MEMBER_KIND, likely)
    except (MissingObjectError, VersionConflictError):
        return await store.write(MEMBER_KIND, other)
