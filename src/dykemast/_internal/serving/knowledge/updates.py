"""What is done with the objects of one kind."""

from collections.abc import Callable
from typing import NamedTuple

from dykemast._internal.exceptions import InvalidDataError
from dykemast._internal.platform.store_types import (
    Changes,
    Listing,
    StoreObject,
)
from dykemast._internal.utils.events import make_logger

_log = make_logger('store')


class Updater(NamedTuple):
    """What to do with objects of a kind.

    :param kind: the kind.
    :param apply_object: called for each object that is new or changed.
    :param remove_missing: called with the names of all objects after a listing.
    :param remove_object: called with the name of an object that is gone.
    :param remove_invalid: called with the name of an object that makes no
        sense (any more).
    :param record_revision: called with the store's revision up to which all
        changes have been taken.
    :param pause: seconds after an answer of a watch in which further changes
        gather, so that many of them make one call.
    :param told: revisions of objects that were told to make no sense, by
        name: one that nobody mends would be told at each read.
    """

    kind: str
    apply_object: Callable[[StoreObject], None]
    remove_missing: Callable[[set[str]], None]
    remove_object: Callable[[str], None]
    remove_invalid: Callable[[str], None]
    record_revision: Callable[[int], None]
    pause: float
    told: dict[str, int]


def apply_listing(updater: Updater, listing: Listing) -> None:
    """Take what a listing shows.

    :param updater: what to do with the objects.
    :param listing: all objects of its kind.
    """
    for stored in listing.found:
        _take(updater, stored)
    names = {one.name for one in listing.found}
    updater.remove_missing(names)
    for name in updater.told.keys() - names:
        updater.told.pop(name)
    updater.record_revision(listing.revision)


def apply_changes(updater: Updater, changes: Changes) -> None:
    """Take what a watch tells.

    :param updater: what to do with the objects.
    :param changes: changes of its kind.
    """
    for event in changes.events:
        if event.removed:
            updater.told.pop(event.changed.name, None)
            updater.remove_object(event.changed.name)
        else:
            _take(updater, event.changed)
    updater.record_revision(changes.revision)


def _take(updater: Updater, stored: StoreObject) -> None:
    try:
        updater.apply_object(stored)
    except InvalidDataError as error:
        updater.remove_invalid(stored.name)
        _tell_unusable(updater, stored, error)


def _tell_unusable(
    updater: Updater,
    stored: StoreObject,
    error: InvalidDataError,
) -> None:
    if updater.told.get(stored.name) == stored.revision:
        return
    updater.told[stored.name] = stored.revision
    _log(
        'object_not_usable',
        kind=updater.kind,
        name=stored.name,
        revision=stored.revision,
        reason=str(error),
    )
