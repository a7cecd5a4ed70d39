"""Objects of the store that hold budgets."""

import msgspec

from dykemast._internal.exceptions import InvalidBudgetError
from dykemast._internal.models.budget_ledger import BudgetLedger
from dykemast._internal.platform.store_types import StoreObject


def encode_ledger(
    workspace: str,
    revision: int,
    ledger: BudgetLedger,
) -> StoreObject:
    """Make the object of a budget.

    :param workspace: whose it is.
    :param revision: that it has to replace; 0 for none.
    :param ledger: the budget.
    :returns: the object.
    """
    return StoreObject(workspace, revision, msgspec.to_builtins(ledger))


def decode_ledger(stored: StoreObject) -> BudgetLedger | None:
    """Read the object of a budget.

    :param stored: the object.
    :returns: the budget; nothing when there is no object.
    :raises BudgetNotUsableError: when it makes no sense.
    """
    if not stored.revision:
        return None
    try:
        ledger = msgspec.convert(stored.spec, BudgetLedger)
    except msgspec.ValidationError as error:
        raise InvalidBudgetError(f'the budget: {error}') from error
    if not ledger.has_valid_counts():
        raise InvalidBudgetError('the budget has counts below 0.')
    return ledger
