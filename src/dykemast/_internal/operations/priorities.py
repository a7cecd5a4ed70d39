"""How urgent a request is for an engine."""

from typing import Final

from dykemast._internal.models.routing_table import Route, Workspace

#: Urgencies that engines know: 0, the first, to 9.
LAST_PRIORITY: Final = 9
#: Urgencies of routes that go below one of workspaces.
ROUTE_PRIORITIES: Final = 3


def choose_priority(workspace: Workspace | None, route: Route) -> int:
    """Choose the urgency of a request; the workspace's goes first.

    :param workspace: who spends; None on a public route.
    :param route: the request's route.
    :returns: the urgency.
    """
    own = workspace.priority if workspace else None
    ranked = (own or 0) * ROUTE_PRIORITIES + route.priority
    return min(LAST_PRIORITY, ranked)
