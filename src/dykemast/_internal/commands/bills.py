"""Reading and formatting of bills."""

from typing import Any
from urllib.parse import quote

from dykemast._internal.network.admin_client import AdminAddress, call_admin
from dykemast._internal.utils.tables import format_table


def read_bills(address: AdminAddress, workspace: str) -> Any:
    """Read the bills in the journal.

    :param address: address and key of the administration API.
    :param workspace: workspace of the bills; empty for all.
    :returns: bills, oldest first.
    """
    path = f'/admin/bills?workspace={quote(workspace)}'
    return call_admin(address, 'GET', path)


def format_bills(answer: Any) -> str:
    """Format bills as a table with their total.

    :param answer: response of the administration API.
    :returns: the formatted text.
    """
    total = sum(bill['tokens'] for bill in answer)
    table = format_table(answer, ('key', 'budget', 'tokens', 'outcome', 'run'))
    return f'{table}\n{len(answer)} bills, {total} tokens'
