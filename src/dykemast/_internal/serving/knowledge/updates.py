"""Apply the objects that the store answers to the blackboard."""

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
    """Callbacks that apply the objects of one kind.

    :param kind: kind of the objects.
    :param apply_object: called for each object that is new or changed.
    :param remove_missing: called with the names of all objects after a
        listing, to remove all others.
    :param remove_object: called with the name of an object that is gone.
    :param remove_invalid: called with the name of an invalid object.
    :param record_position: called with the position in the store's history up
        to which all changes are applied.
    :param pause: seconds to wait after an answer of a watch, so that the next
        call batches several changes.
    :param logged: positions of invalid objects that are logged already, by
        name: otherwise each listing would log an uncorrected object again.
    """

    kind: str
    apply_object: Callable[[StoreObject], None]
    remove_missing: Callable[[set[str]], None]
    remove_object: Callable[[str], None]
    remove_invalid: Callable[[str], None]
    record_position: Callable[[int], None]
    pause: float
    logged: dict[str, int]


def apply_listing(updater: Updater, listing: Listing) -> None:
    """Apply a full listing.

    :param updater: callbacks for the objects.
    :param listing: all objects of its kind.
    """
    for stored in listing.found:
        _apply(updater, stored)
    names = {one.name for one in listing.found}
    updater.remove_missing(names)
    for name in updater.logged.keys() - names:
        updater.logged.pop(name)
    updater.record_position(listing.position)


def apply_changes(updater: Updater, changes: Changes) -> None:
    """Apply the changes that a watch returned.

    :param updater: callbacks for the objects.
    :param changes: changes of its kind.
    """
    for event in changes.events:
        if event.removed:
            updater.logged.pop(event.changed.name, None)
            updater.remove_object(event.changed.name)
        else:
            _apply(updater, event.changed)
    updater.record_position(changes.position)


def _apply(updater: Updater, stored: StoreObject) -> None:
    try:
        updater.apply_object(stored)
    except InvalidDataError as error:
        updater.remove_invalid(stored.name)
        _log_invalid(updater, stored, error)


def _log_invalid(
    updater: Updater,
    stored: StoreObject,
    error: InvalidDataError,
) -> None:
    if updater.logged.get(stored.name) == stored.position:
        return
    updater.logged[stored.name] = stored.position
    _log(
        'object_not_usable',
        kind=updater.kind,
        name=stored.name,
        revision=stored.revision,
        reason=str(error),
    )
