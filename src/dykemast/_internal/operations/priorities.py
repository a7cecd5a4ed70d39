"""Priority of a request at a model engine."""

from typing import Final

from dykemast._internal.models.routing_table import Route, Workspace

#: Engines accept priorities from 0, served first, to 9.
LAST_PRIORITY: Final = 9
#: Route priorities within one workspace priority.
ROUTE_PRIORITIES: Final = 3


def choose_priority(workspace: Workspace | None, route: Route) -> int:
    """Rank a request by the priority of its workspace, then of its route.

    :param workspace: the workspace that pays; None on a public route.
    :param route: route of the request.
    :returns: priority from 0 to ``LAST_PRIORITY``.
    """
    own = workspace.priority if workspace else None
    ranked = (own or 0) * ROUTE_PRIORITIES + route.priority
    return min(LAST_PRIORITY, ranked)
