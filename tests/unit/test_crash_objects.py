"""Effects of crash records that are read from the store."""

from typing import Any

from dykemast._internal.platform.store_types import (
    Changes,
    Event,
    Listing,
    StoreObject,
)
from dykemast._internal.serving.knowledge import crash_records, updates
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.state.quarantines import is_crash_table_current
from dykemast._internal.utils.clock import read_clock
from tests.lib.serving_boards import make_board

NAME = '5be1'


def make_object(**fields: Any) -> StoreObject:
    held = {'request': NAME, 'servers': ['a', 'b', 'c'], 'terms': 1, **fields}
    return StoreObject(NAME, 3, held)


def apply_event(
    board: ServingBoard, stored: StoreObject, *, removed: bool
) -> None:
    record_updater = crash_records.make_updater(board)
    changes = Changes([Event(stored, removed)], 4)
    updates.apply_changes(record_updater, changes)


def test_a_record_quarantines_until_an_operator_removes_it() -> None:
    board = make_board()
    apply_event(board, make_object(), removed=False)
    assert board.quarantined == {NAME}
    apply_event(board, make_object(), removed=True)
    assert not board.quarantined
    # An older copy of the record does not restore the quarantine.
    apply_event(board, make_object(), removed=False)
    assert not board.quarantined


def test_an_invalid_record_neither_quarantines_nor_lifts() -> None:
    for wrong in ({'servers': 5}, {'terms': 'x'}, {'request': 'other'}):
        board = make_board()
        apply_event(board, make_object(**wrong), removed=False)
        assert not board.quarantined
        apply_event(board, make_object(), removed=False)
        apply_event(board, make_object(**wrong), removed=False)
        assert board.quarantined == {NAME}


def test_a_suspended_router_is_not_current() -> None:
    board = make_board()
    assert not is_crash_table_current(board)
    board.crashes.requested_at = read_clock()
    assert is_crash_table_current(board)
    # The event loop was suspended for longer than peers need to send reports.
    board.watch.note(read_clock() - 5)
    assert not is_crash_table_current(board)


def test_a_listing_lifts_no_missing_record() -> None:
    board = make_board()
    apply_event(board, make_object(), removed=False)
    record_updater = crash_records.make_updater(board)
    updates.apply_listing(record_updater, Listing([], 9))
    assert board.quarantined == {NAME}
