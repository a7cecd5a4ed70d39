"""Encoding of budgets as store objects."""

from typing import Any, Final

import msgspec

from dykemast._internal.exceptions import InvalidBudgetError
from dykemast._internal.models.budget_ledger import BudgetLedger, LedgerRow
from dykemast._internal.platform.store_types import StoreObject

#: Name of a row without tokens that holds the era. Earlier builds reject an
#: object with another field, and keep rows that they do not know.
ERA_ROW: Final = 'era'
#: What precedes the era in place of that row's instance.
_ERA_PREFIX: Final = 'era:'


def encode_ledger(
    workspace: str,
    revision: int,
    ledger: BudgetLedger,
) -> StoreObject:
    """Encode a budget as a store object.

    :param workspace: workspace of the budget.
    :param revision: revision to be replaced; 0 for a new object.
    :param ledger: the budget.
    :returns: the object.
    """
    rows = dict(ledger.rows)
    if ledger.era:
        rows[ERA_ROW] = LedgerRow(f'{_ERA_PREFIX}{ledger.era}', 0, 0, 0, 0)
    *fields, _ = ledger._replace(rows=rows)
    return StoreObject(workspace, revision, msgspec.to_builtins(fields))


def decode_ledger(stored: StoreObject) -> BudgetLedger | None:
    """Decode the store object of a budget.

    :param stored: the object.
    :returns: the budget; None if there is no object.
    :raises InvalidBudgetError: if the object is invalid.
    """
    if not stored.revision:
        return None
    ledger = decode_spec(stored.spec)
    if not ledger.has_valid_counts():
        raise InvalidBudgetError('invalid budget: a count is below 0')
    return ledger


def decode_spec(spec: Any) -> BudgetLedger:
    """Decode the content of a budget's object.

    :param spec: the content.
    :returns: the budget; its counts may be invalid.
    :raises InvalidBudgetError: if the content is invalid.
    """
    try:
        ledger = msgspec.convert(spec, BudgetLedger)
    except msgspec.ValidationError as error:
        raise InvalidBudgetError(f'invalid budget: {error}') from error
    mark = ledger.rows.pop(ERA_ROW, None)
    return ledger._replace(era=_decode_era(mark)) if mark else ledger


def _decode_era(mark: LedgerRow) -> int:
    try:
        return int(mark.instance.removeprefix(_ERA_PREFIX))
    except ValueError as error:
        text = f'invalid era of a budget: {mark.instance!r}'
        raise InvalidBudgetError(text) from error
