"""A request that was let in."""

from typing import NamedTuple

from dykemast._internal.models.caller_request import CallerRequest
from dykemast._internal.models.routing_table import (
    Route,
    RouteKind,
    Workspace,
)
from dykemast._internal.models.services import Service


class AdmittedRequest(NamedTuple):
    """A request that was let in.

    :param request: the request.
    :param route: its route.
    :param service: the service that runs it.
    :param workspace: who spends; None on a public route.
    :param started: seconds on the steady clock when it came.
    :param deadline: seconds on the steady clock by which it has to end.
    :param version: configuration that decided.
    """

    request: CallerRequest
    route: Route
    service: Service
    workspace: Workspace | None
    started: float
    deadline: float
    version: int

    def list_allowed_regions(self) -> list[frozenset[str]]:
        """List where the request has to stay; each of them binds.

        :returns: sets of regions; none where it may go anywhere.
        """
        asked = (
            self.route.allowed_regions,
            self.workspace and self.workspace.allowed_regions,
        )
        return [allowed_regions for allowed_regions in asked if allowed_regions]

    def is_repeatable(self) -> bool:
        """Tell whether the request may run more than once.

        :returns: whether it may.
        """
        return self.route.kind is RouteKind.safe or self.route.resumable
