"""Show and top up budgets."""

from typing import Any

from dykemast._internal.network.admin_client import AdminAddress, call_admin
from dykemast._internal.utils.tables import format_table


def read_budgets(address: AdminAddress) -> Any:
    """Read all budgets.

    :param address: where to ask.
    :returns: budgets by name.
    """
    return call_admin(address, 'GET', '/admin/budgets')


def format_budgets(answer: Any) -> str:
    """Show budgets as a table.

    :param answer: as read.
    :returns: text.
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
    """Add paid tokens, once for each id.

    :param address: where to ask.
    :param budget: ``workspace/name``.
    :param tokens: how many.
    :param topup: id of the top-up.
    :returns: the budget after it.
    """
    fields = {'budget': budget, 'tokens': tokens, 'topup': topup}
    return call_admin(address, 'POST', '/admin/topups', fields)


def format_topup(answer: Any) -> str:
    """Show a budget after a top-up.

    :param answer: as given.
    :returns: text.
    """
    return '{budget}: {paid} paid, {unspent} unspent'.format(**answer)
