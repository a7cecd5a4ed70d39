"""Encoding of budgets as store objects."""

import msgspec

from dykemast._internal.exceptions import InvalidBudgetError
from dykemast._internal.models.budget_ledger import BudgetLedger
from dykemast._internal.platform.store_types import StoreObject


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
    return StoreObject(workspace, revision, msgspec.to_builtins(ledger))


def decode_ledger(stored: StoreObject) -> BudgetLedger | None:
    """Decode the store object of a budget.

    :param stored: the object.
    :returns: the budget; None if there is no object.
    :raises InvalidBudgetError: if the object is invalid.
    """
    if not stored.revision:
        return None
    try:
        ledger = msgspec.convert(stored.spec, BudgetLedger)
    except msgspec.ValidationError as error:
        raise InvalidBudgetError(f'invalid budget: {error}') from error
    if not ledger.has_valid_counts():
        raise InvalidBudgetError('invalid budget: a count is below 0')
    return ledger
