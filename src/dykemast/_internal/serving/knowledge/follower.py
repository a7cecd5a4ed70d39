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
    """

    kind: str
    take_object: Callable[[StoreObject], None]
    take_names: Callable[[set[str]], None]
    drop_object: Callable[[str], None]
    drop_unusable: Callable[[str], None]
    note_revision: Callable[[int], None]
    pause: float = 0


def take_listing(follower: Follower, listing: Listing) -> None:
    """Take what a listing shows.

    :param follower: what to do with the objects.
    :param listing: all objects of its kind.
    """
    for stored in listing.found:
        _take(follower, stored)
    follower.take_names({one.name for one in listing.found})
    follower.note_revision(listing.revision)


def take_changes(follower: Follower, changes: Changes) -> None:
    """Take what a watch tells.

    :param follower: what to do with the objects.
    :param changes: changes of its kind.
    """
    for event in changes.events:
        if event.removed:
            follower.drop_object(event.changed.name)
        else:
            _take(follower, event.changed)
    follower.note_revision(changes.revision)


def _take(follower: Follower, stored: StoreObject) -> None:
    try:
        follower.take_object(stored)
    except NotUsableError as error:
        _log(
            'object_not_usable',
            kind=follower.kind,
            name=stored.name,
            revision=stored.revision,
            reason=str(error),
        )
        follower.drop_unusable(stored.name)
