"""An invalid entry is logged once, not at each listing.

Listings are about a second apart, and the entry may never be corrected: four
listings with one invalid entry logged four lines.
"""

from unittest import mock

from dykemast._internal.platform.store_types import Listing, StoreObject
from dykemast._internal.serving.knowledge import updates
from dykemast._internal.serving.knowledge.server_entries import make_updater
from tests.lib.serving_boards import make_board


def test_an_entry_that_stays_invalid_is_logged_once() -> None:
    taker = make_updater(make_board())
    with mock.patch.object(updates, '_log') as logged:
        for revision in (1, 1, 1, 2):
            stored = StoreObject('a', revision, {'address': 5})
            updates.apply_listing(taker, Listing([stored], 9))
    assert [call.kwargs['revision'] for call in logged.mock_calls] == [1, 2]


def test_an_entry_that_becomes_invalid_again_is_logged_again() -> None:
    taker = make_updater(make_board())
    with mock.patch.object(updates, '_log') as logged:
        for names in (['a'], [], ['a']):
            found = [StoreObject(name, 1, None) for name in names]
            updates.apply_listing(taker, Listing(found, 9))
    assert len(logged.mock_calls) == 2
