"""Show the fleet."""

from typing import Any

from dykemast._internal.network.admin_client import AdminAddress, call_admin
from dykemast._internal.utils.tables import format_table


def read_status(address: AdminAddress) -> Any:
    """Read what a router knows of the fleet.

    :param address: where to ask.
    :returns: routers and workers.
    """
    return call_admin(address, 'GET', '/admin/fleet')


def format_status(answer: Any) -> str:
    """Show the fleet as tables.

    :param answer: as read.
    :returns: text.
    """
    routers = format_table(
        answer['routers'],
        ('instance', 'hall', 'revision', 'inflight', 'leaving', 'incarnation'),
    )
    workers = format_table(
        answer['workers'], ('instance', 'service', 'hall', 'leaving', 'load')
    )
    return f'{routers}\n\n{workers}'
