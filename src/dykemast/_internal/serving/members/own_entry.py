"""This router's own entry in the list of routers, and in entry answers."""

from typing import Final

import msgspec

from dykemast._internal.exceptions import (
    MissingObjectError,
    VersionConflictError,
)
from dykemast._internal.platform.objects import ObjectStore
from dykemast._internal.platform.store_types import ANY_REVISION, StoreObject
from dykemast._internal.serving.state.board import ServingBoard

#: Kind of the objects by which routers register.
MEMBER_KIND: Final = 'dykemast-routers'
#: Long enough that callers ask rarely, short enough that they leave a router
#: that stops in time.
ENTRY_TTL_S: Final = 1.5


async def register_self(board: ServingBoard, store: ObjectStore) -> None:
    """Write this router's own entry.

    At a restart the entry of the previous process usually exists, and at the
    first start of all routers it does not. Trying the likely case first makes
    one call enough for most starts.

    :param board: the blackboard.
    :param store: the object store.
    :raises PlatformError: when a call to the store failed.
    """
    card = msgspec.to_builtins(board.make_card())
    created = StoreObject(board.settings.name, 0, card)
    replaced = created._replace(revision=ANY_REVISION)
    if board.settings.first_start:
        await _write(store, created, replaced)
    else:
        await _write(store, replaced, created)


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
) -> None:
    try:
        await store.write(MEMBER_KIND, likely)
    except (MissingObjectError, VersionConflictError):
        await store.write(MEMBER_KIND, other)
