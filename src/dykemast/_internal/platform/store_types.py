"""Objects, listings and change events of the platform's object store."""

from typing import Annotated, Any, Final, NamedTuple

import msgspec

#: Revision for a write that replaces an object unconditionally.
ANY_REVISION: Final = -1
_REVISION_BITS: Final = 40
#: Revisions of one era, far above what a store reaches. A position in the
#: store's history counts the eras before it as full, which orders positions by
#: era first. It is one integer, so that a position of era 0 is its revision, as
#: for routers of a build that knows no eras.
ERA_SPAN: Final = 1 << _REVISION_BITS
#: Revision as the store answers it.
Revision = Annotated[int, msgspec.Meta(ge=0, lt=ERA_SPAN)]


def make_position(era: int, revision: int) -> int:
    """Make the position in the store's history of a revision.

    :param era: era of the store.
    :param revision: the store's revision in it.
    :returns: the position.
    """
    return era * ERA_SPAN + revision


def split_position(position: int) -> tuple[int, int]:
    """Split a position in the store's history.

    :param position: the position.
    :returns: era and revision.
    """
    return divmod(position, ERA_SPAN)


class StoreObject(NamedTuple):
    """An object of the store.

    :param name: unique in its kind.
    :param revision: revision of its last change; 0 when it does not exist.
    :param spec: content of the object.
    :param era: era of the store in which this object was read or written.
    """

    name: str
    revision: int
    spec: Any
    era: int = 0

    @property
    def position(self) -> int:
        """Position of its last change."""
        return make_position(self.era, self.revision)


class Listing(NamedTuple):
    """All objects of a kind.

    :param found: the objects.
    :param position: position from which a watch continues.
    """

    found: list[StoreObject]
    position: int


class Page(NamedTuple):
    """A page of a listing.

    :param listing: the objects on this page.
    :param more: whether another page follows.
    """

    listing: Listing
    more: bool


class Event(NamedTuple):
    """A change of an object.

    :param changed: the object after the change, or as it was when removed.
    :param removed: whether the object was removed.
    """

    changed: StoreObject
    removed: bool


class Changes(NamedTuple):
    """Response to a watch.

    :param events: changes in order.
    :param position: position from which the next watch continues.
    """

    events: list[Event]
    position: int
