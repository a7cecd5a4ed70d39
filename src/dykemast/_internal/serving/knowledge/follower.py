"""What is done with the objects of one kind."""

from collections.abc import Callable
from typing import NamedTuple

from dykemast._internal.exceptions import NotUsableError
from dykemast._internal.platform.store_types import (
    Changes,
    Listing,
    StoreObject,
)
from dykemast._internal.utils.events import make_logger

_log = make_logger('store')


class Follower(NamedTuple):
    """What to do with objects of a kind.

    :param kind: the kind.
    :param take_object: called for each object that is new or changed.
    :param take_names: called with the names of all objects after a listing.
    :param drop_object: called with the name of an object that is gone.
    :param drop_unusable: called with the name of an object that makes no
        sense (any more).
    :param note_revision: called with the store's revision up to which all
        changes have been taken.
    :param pause: seconds after an answer of a watch in which further changes
        gather, so that many of them make one call.
    :param told: revisions of objects that were told to make no sense, by
        name: one that nobody mends would be told at each read.
    """

    kind: str
    take_object: Callable[[StoreObject], None]
    take_names: Callable[[set[str]], None]
    drop_object: Callable[[str], None]
    drop_unusable: Callable[[str], None]
    note_revision: Callable[[int], None]
    pause: float
    told: dict[str, int]


def take_listing(follower: Follower, listing: Listing) -> None:
    """Take what a listing shows.

    :param follower: what to do with the objects.
    :param listing: all objects of its kind.
    """
    for stored in listing.found:
        _take(follower, stored)
    names = {one.name for one in listing.found}
    follower.take_names(names)
    for name in follower.told.keys() - names:
        follower.told.pop(name)
    follower.note_revision(listing.revision)


def take_changes(follower: Follower, changes: Changes) -> None:
    """Take what a watch tells.

    :param follower: what to do with the objects.
    :param changes: changes of its kind.
    """
    for event in changes.events:
        if event.removed:
            follower.told.pop(event.changed.name, None)
            follower.drop_object(event.changed.name)
        else:
            _take(follower, event.changed)
    follower.note_revision(changes.revision)


def _take(follower: Follower, stored: StoreObject) -> None:
    try:
        follower.take_object(stored)
    except NotUsableError as error:
        follower.drop_unusable(stored.name)
        _tell_unusable(follower, stored, error)


def _tell_unusable(
    follower: Follower,
    stored: StoreObject,
    error: NotUsableError,
) -> None:
    if follower.told.get(stored.name) == stored.revision:
        return
    follower.told[stored.name] = stored.revision
    _log(
        'object_not_usable',
        kind=follower.kind,
        name=stored.name,
        revision=stored.revision,
        reason=str(error),
    )
