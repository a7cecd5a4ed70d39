"""Merge of two states of a budget after a return of the store."""

import unittest

from dykemast._internal.exceptions import InvalidBudgetError
from dykemast._internal.models.budget_ledger import (
    BudgetLedger,
    LedgerRow,
    merge_ledgers,
)
from dykemast._internal.operations.allowance_terms import StoreEra
from dykemast._internal.operations.ledger_eras import (
    Knowledge,
    learn_ledger,
    settle_ledger,
)
from dykemast._internal.platform.store_types import StoreObject
from dykemast._internal.serving.tokens.ledger_objects import (
    decode_ledger,
    encode_ledger,
)

PREPAID = 1000
#: Fields of an object that builds without eras accept.
EARLIER_FIELDS = 6


def make_row(instance: str, limit: int, spent: int, demand: float = 0):
    return LedgerRow(instance, limit, spent, limit, demand)


def make_ledger(closed: int = 0, **rows: LedgerRow) -> BudgetLedger:
    return BudgetLedger(1, PREPAID, rows, closed, closed, 0)


def test_the_row_that_has_spent_more_is_the_newer() -> None:
    # Its limit may be lower, when unused tokens were returned.
    copy = make_ledger(a=make_row('i', 500, 10))
    later = make_ledger(a=make_row('i', 100, 90))
    for pair in ((copy, later), (later, copy)):
        merged = merge_ledgers(*pair, frozenset())
        assert merged.rows == later.rows


def test_rows_that_have_spent_the_same_keep_the_higher_limit() -> None:
    copy = make_ledger(a=make_row('i', 500, 10))
    later = make_ledger(a=make_row('i', 600, 10))
    for pair in ((copy, later), (later, copy)):
        merged = merge_ledgers(*pair, frozenset())
        assert merged.rows['a'].limit == 600


def test_a_row_closed_since_the_copy_is_charged_once() -> None:
    other = make_row('k', 50, 20)
    copy = make_ledger(a=make_row('i', 100, 80), c=other)
    later = make_ledger(100, b=make_row('i', 30, 10), c=other)
    for pair in ((copy, later), (later, copy)):
        merged = merge_ledgers(*pair, frozenset(('b', 'c')))
        assert merged == later


def test_rows_of_two_ended_processes_of_an_instance_are_charged() -> None:
    copy = make_ledger(a=make_row('i', 100, 80))
    later = make_ledger(120, b=make_row('i', 30, 10))
    for pair in ((copy, later), (later, copy)):
        merged = merge_ledgers(*pair, frozenset())
        assert merged.closed == 150
        assert not merged.rows


def test_routers_that_cannot_tell_are_charged_by_demand() -> None:
    row = make_row('i', 100, 80, demand=20)
    ledger = make_ledger(a=row, b=row)
    settled = settle_ledger(ledger, StoreEra(3, live=frozenset('b')))
    assert settled.rows['a'].limit > ledger.rows['a'].limit
    assert settled.rows['b'] == ledger.rows['b']
    assert settled.era == 3


def test_a_time_that_was_seen_is_not_charged() -> None:
    row = make_row('i', 100, 80, demand=20)
    era = StoreEra(3, unseen_s=0.5)
    settled = settle_ledger(make_ledger(a=row), era)
    assert settled.rows['a'].limit == row.limit + 10


def test_ended_routers_of_a_copy_that_is_all_there_is_are_charged_more() -> (
    None
):
    row = make_row('i', 100, 80, demand=4)
    era = StoreEra(3, unseen_s=5)
    known = settle_ledger(make_ledger(a=row), era)
    unknown = settle_ledger(make_ledger(a=row), era._replace(is_first=True))
    assert known.rows['a'].limit == row.limit + 20
    assert unknown.rows['a'].limit == row.limit + 80


def test_no_more_is_charged_than_is_free() -> None:
    row = make_row('i', 400, 80, demand=900)
    ledger = make_ledger(a=row, b=row)
    assert settle_ledger(ledger, StoreEra(1)).count_free() == 0


def test_an_object_with_an_era_has_the_form_of_earlier_builds() -> None:
    # They refuse another field, which would close the budget for them.
    ledger = make_ledger(a=make_row('i', 500, 80))._replace(era=12)
    stored = encode_ledger('w', 1, ledger)
    assert len(stored.spec) == EARLIER_FIELDS
    rows = stored.spec[2]
    assert set(map(len, rows.values())) == {5}
    assert decode_ledger(stored) == ledger


def test_an_object_without_an_era_is_that_of_earlier_builds() -> None:
    ledger = make_ledger(a=make_row('i', 500, 80))
    stored = encode_ledger('w', 1, ledger)
    assert list(stored.spec[2]) == ['a']
    assert decode_ledger(stored) == ledger


def test_an_invalid_era_makes_a_budget_invalid() -> None:
    for text in ('', 'era:', 'era:x', 'era:-1', '9' * 5000):
        mark = [text, 0, 0, 0, 0]
        spec = [1, PREPAID, {'era': mark}, 0, 0, 0]
        with unittest.TestCase().assertRaises(InvalidBudgetError):
            decode_ledger(StoreObject('w', 1, spec))


def test_a_late_write_of_an_earlier_era_loses_no_row() -> None:
    # Its revision was given out again, to the settled budget.
    late = make_ledger(a=make_row('i', 100, 80))
    settled = make_ledger(c=make_row('k', 800, 700), **late.rows)
    known = Knowledge(settled._replace(era=2), 2)
    learned = learn_ledger(known, late, 2, frozenset(('a', 'c')))
    assert learned.ledger == known.ledger
    assert learned.is_newer
    assert learn_ledger(learned, learned.ledger, 2, frozenset()) == known
