"""What the platform's object store holds and tells."""

from typing import Any, Final, NamedTuple

#: Of a write that replaces an object whatever it was before.
ANY_REVISION: Final = -1


class StoreObject(NamedTuple):
    """An object of the store.

    :param name: unique in its kind.
    :param revision: of its last change; 0 when it does not exist.
    :param spec: what it holds.
    """

    name: str
    revision: int
    spec: Any


class Listing(NamedTuple):
    """All objects of a kind.

    :param found: the objects, as they were.
    :param revision: of the store; a watch goes on from it.
    """

    found: list[StoreObject]
    revision: int


class Page(NamedTuple):
    """A page of a listing.

    :param listing: what is on it.
    :param more: whether another page follows.
    """

    listing: Listing
    more: bool


class Event(NamedTuple):
    """A change of an object.

    :param changed: the object, as it is or as it was when it was removed.
    :param removed: whether it is gone.
    """

    changed: StoreObject
    removed: bool


class Changes(NamedTuple):
    """Answer of a watch.

    :param events: in order.
    :param revision: the next watch goes on from it.
    """

    events: list[Event]
    revision: int
