"""A request that passed the admission checks."""

from typing import NamedTuple

from dykemast._internal.models.caller_request import CallerRequest
from dykemast._internal.models.routing_table import (
    Route,
    RouteKind,
    Workspace,
)
from dykemast._internal.models.services import Service


class AdmittedRequest(NamedTuple):
    """A request that passed the admission checks.

    :param request: the request.
    :param route: its route.
    :param service: the service that runs it.
    :param workspace: the workspace that pays; None on a public route.
    :param started: time of its arrival, in seconds of ``read_clock``.
    :param deadline: time by which it has to end, in seconds of ``read_clock``.
    :param version: version of the configuration that applies.
    :param server_version: version of the servers that may run it, since one of
        them began its stream; None for any.
    """

    request: CallerRequest
    route: Route
    service: Service
    workspace: Workspace | None
    started: float
    deadline: float
    version: int
    server_version: str | None = None

    def list_allowed_regions(self) -> list[frozenset[str]]:
        """List the sets of regions that the request is restricted to.

        :returns: sets of regions, all of which apply; empty when unrestricted.
        """
        asked = (
            self.route.allowed_regions,
            self.workspace and self.workspace.allowed_regions,
        )
        return [allowed_regions for allowed_regions in asked if allowed_regions]

    def is_repeatable(self) -> bool:
        """Tell whether the request may run more than once.

        :returns: whether its route is safe or its stream is resumable.
        """
        return self.route.kind is RouteKind.safe or self.route.resumable
