"""Reading, formatting and topping up of budgets."""

from typing import Any

from dykemast._internal.network.admin_client import AdminAddress, call_admin
from dykemast._internal.utils.tables import format_table


def read_budgets(address: AdminAddress) -> Any:
    """Read all budgets.

    :param address: address and key of the administration API.
    :returns: budgets by name.
    """
    return call_admin(address, 'GET', '/admin/budgets')


def format_budgets(answer: Any) -> str:
    """Format budgets as a table.

    :param answer: response of the administration API.
    :returns: the formatted text.
    """
    return format_table(
        answer, ('budget', 'paid', 'unspent', 'free', 'in_doubt')
    )


def add_topup(
    address: AdminAddress,
    budget: str,
    tokens: int,
    topup: str,
) -> Any:
    """Add paid tokens, once per top-up id.

    :param address: address and key of the administration API.
    :param budget: ``workspace/name``.
    :param tokens: number of tokens to add.
    :param topup: id of the top-up.
    :returns: the budget after the top-up.
    """
    fields = {'budget': budget, 'tokens': tokens, 'topup': topup}
    return call_admin(address, 'POST', '/admin/topups', fields)


def format_topup(answer: Any) -> str:
    """Format a budget after a top-up.

    :param answer: response of the administration API.
    :returns: the formatted text.
    """
    return '{budget}: {paid} paid, {unspent} unspent'.format(**answer)
