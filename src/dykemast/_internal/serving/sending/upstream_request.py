"""Requests to backend servers."""

from collections.abc import Callable
from typing import Final, NamedTuple

from dykemast._internal.models.backend import BackendServer
from dykemast._internal.models.caller_request import CallerRequest
from dykemast._internal.models.forwarding import ForwardingFields
from dykemast._internal.models.routing_table import Route, Workspace
from dykemast._internal.serving.requests.admitted_request import AdmittedRequest
from dykemast._internal.utils.clock import read_clock

#: Engines accept priorities from 0, served first, to 9.
LAST_PRIORITY: Final = 9
#: Route priorities within one workspace priority.
ROUTE_PRIORITIES: Final = 3


class UpstreamRequest(NamedTuple):
    """A request to a backend server.

    :param server: the server.
    :param request: the caller's request.
    :param body: its body.
    :param added: header fields that this router adds.
    :param deadline: seconds on the monotonic clock by which the response has
        to begin.
    :param made_at: seconds on the monotonic clock at which the server was
        chosen.
    :param avoids_link: whether a peer is asked for a tunnel first, since the
        previous connection of this request broke.
    """

    server: BackendServer
    request: CallerRequest
    body: bytes
    added: ForwardingFields
    deadline: float
    made_at: float
    avoids_link: bool = False

    def resume_after(self, event: str) -> 'UpstreamRequest':
        """Make a request that resumes a stream after an event.

        :param event: id of the event; empty for the whole stream.
        :returns: the request.
        """
        return self._replace(added=self.added._replace(last_event_id=event))

    def resumes_stream(self) -> bool:
        """Tell whether the request resumes a stream.

        :returns: whether it does.
        """
        return bool(self.added.last_event_id or self.request.last_event_id)


#: Raises if a request must not be sent any more.
CheckSend = Callable[[UpstreamRequest], None]


def make_upstream_request(
    admitted: AdmittedRequest,
    body: bytes,
    server: BackendServer,
    *,
    avoids_link: bool = False,
) -> UpstreamRequest:
    """Make the request to a backend server.

    :param admitted: the admitted request.
    :param body: its body.
    :param server: the server that gets it.
    :param avoids_link: whether a peer is asked for a tunnel first.
    :returns: the request to the server.
    """
    workspace = admitted.workspace
    now = read_clock()
    priority = None
    if admitted.service.engine:
        priority = _choose_priority(workspace, admitted.route)
    added = ForwardingFields(
        server=server.server_id,
        workspace=workspace.name if workspace else '',
        time_left_s=admitted.deadline - now,
        priority=priority,
    )
    return UpstreamRequest(
        server,
        admitted.request,
        body,
        added,
        admitted.deadline,
        now,
        avoids_link,
    )


def _choose_priority(workspace: Workspace | None, route: Route) -> int:
    """Rank a request by the priority of its workspace, then of its route.

    :param workspace: the workspace that pays; None on a public route.
    :param route: route of the request.
    :returns: priority from 0 to ``LAST_PRIORITY``.
    """
    own = workspace.priority if workspace else None
    ranked = (own or 0) * ROUTE_PRIORITIES + route.priority
    return min(LAST_PRIORITY, ranked)
