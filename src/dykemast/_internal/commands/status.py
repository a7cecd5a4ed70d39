"""Reading and formatting of the state of the fleet."""

from typing import Any

from dykemast._internal.network.admin_client import AdminAddress, call_admin
from dykemast._internal.utils.tables import format_table


def read_status(address: AdminAddress) -> Any:
    """Read a router's view of the fleet.

    :param address: address and key of the administration API.
    :returns: routers and workers.
    """
    return call_admin(address, 'GET', '/admin/fleet')


def format_status(answer: Any) -> str:
    """Format the fleet as tables.

    :param answer: response of the administration API.
    :returns: the formatted text.
    """
    routers = format_table(
        answer['routers'],
        ('instance', 'hall', 'revision', 'inflight', 'leaving', 'incarnation'),
    )
    workers = format_table(
        answer['workers'], ('instance', 'service', 'hall', 'leaving', 'load')
    )
    return f'{routers}\n\n{workers}'
