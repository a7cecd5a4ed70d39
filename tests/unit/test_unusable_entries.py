"""An entry that names no server is told once, not at each read of the list.

The list is read about each second, and whoever wrote the entry may never mend
it: four reads of one foreign entry logged four lines.
"""

from unittest import mock

from dykemast._internal.platform.store_types import Listing, StoreObject
from dykemast._internal.serving.knowledge import updates
from dykemast._internal.serving.knowledge.server_entries import make_updater
from tests.lib.serving_boards import make_board


def test_an_entry_that_stays_unusable_is_told_once() -> None:
    taker = make_updater(make_board())
    with mock.patch.object(updates, '_log') as told:
        for revision in (1, 1, 1, 2):
            stored = StoreObject('a', revision, {'address': 5})
            updates.apply_listing(taker, Listing([stored], 9))
    assert [call.kwargs['revision'] for call in told.mock_calls] == [1, 2]


def test_an_entry_that_was_mended_is_told_when_it_breaks_again() -> None:
    taker = make_updater(make_board())
    with mock.patch.object(updates, '_log') as told:
        for names in (['a'], [], ['a']):
            found = [StoreObject(name, 1, None) for name in names]
            updates.apply_listing(taker, Listing(found, 9))
    assert len(told.mock_calls) == 2
