"""Read operations of the administration API."""

from typing import Any

from starlette.requests import Request

from dykemast._internal.network import admin_views
from dykemast._internal.network.admin_parts import AdminParts


async def read_configuration(parts: AdminParts, _: Request) -> Any:
    """Read the newest revision of the configuration.

    :param parts: shared components of the router.
    :returns: its number and the configuration.
    """
    revision = await parts.store.read_newest()
    return {
        'revision': revision.number,
        'configuration': revision.configuration,
    }


async def read_budgets(parts: AdminParts, _: Request) -> Any:
    """Read all budgets.

    :param parts: shared components of the router.
    :returns: budgets by name.
    """
    return await admin_views.view_budgets(parts.platform)


async def read_bills(parts: AdminParts, request: Request) -> Any:
    """Read bills.

    :param parts: shared components of the router.
    :param request: its query names the workspace; all if it names none.
    :returns: bills, oldest first.
    """
    workspace = request.query_params.get('workspace', '')
    return await admin_views.view_bills(parts.platform, workspace)


async def read_fleet(parts: AdminParts, _: Request) -> Any:
    """Read this router's view of the fleet.

    :param parts: shared components of the router.
    :returns: routers and workers.
    """
    return admin_views.view_fleet(parts.board)
