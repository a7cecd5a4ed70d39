"""Show bills."""

from typing import Any
from urllib.parse import quote

from dykemast._internal.network.admin_client import AdminAddress, call_admin
from dykemast._internal.utils.tables import format_table


def read_bills(address: AdminAddress, workspace: str) -> Any:
    """Read the bills in the journal.

    :param address: where to ask.
    :param workspace: whose; empty for all.
    :returns: bills, oldest first.
    """
    path = f'/admin/bills?workspace={quote(workspace)}'
    return call_admin(address, 'GET', path)


def format_bills(answer: Any) -> str:
    """Show bills as a table with their sum.

    :param answer: as read.
    :returns: text.
    """
    total = sum(bill['tokens'] for bill in answer)
    table = format_table(answer, ('key', 'budget', 'tokens', 'outcome', 'run'))
    return f'{table}\n{len(answer)} bills, {total} tokens'
