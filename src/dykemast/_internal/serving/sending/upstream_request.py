"""What is sent to a backend server."""

from collections.abc import Callable
from typing import NamedTuple

from dykemast._internal.models.backend import BackendServer
from dykemast._internal.models.caller_request import CallerRequest
from dykemast._internal.models.forwarding import ForwardingFields
from dykemast._internal.operations.priorities import choose_priority
from dykemast._internal.serving.requests.admitted_request import AdmittedRequest
from dykemast._internal.utils.clock import read_clock


class UpstreamRequest(NamedTuple):
    """What is sent to a backend server.

    :param server: the server.
    :param request: the caller's request.
    :param body: its body.
    :param added: what this router adds.
    :param deadline: seconds on the steady clock by which the answer has to
        have begun.
    :param made_at: seconds on the steady clock at which the server was chosen.
    """

    server: BackendServer
    request: CallerRequest
    body: bytes
    added: ForwardingFields
    deadline: float
    made_at: float

    def resume_after(self, event: str) -> 'UpstreamRequest':
        """Ask for a stream from after an event.

        :param event: its id; empty for the whole stream.
        :returns: what to send.
        """
        return self._replace(added=self.added._replace(last_event_id=event))


#: Raises when a send must not go out after all.
CheckSend = Callable[[UpstreamRequest], None]


def make_upstream_request(
    admitted: AdmittedRequest,
    body: bytes,
    server: BackendServer,
) -> UpstreamRequest:
    """Make what is sent of a request.

    :param admitted: the request.
    :param body: its body.
    :param server: the server that gets it.
    :returns: what to send.
    """
    workspace = admitted.workspace
    now = read_clock()
    priority = None
    if admitted.service.engine:
        priority = choose_priority(workspace, admitted.route)
    added = ForwardingFields(
        server=server.server_id,
        workspace=workspace.name if workspace else '',
        time_left_s=admitted.deadline - now,
        priority=priority,
    )
    return UpstreamRequest(
        server, admitted.request, body, added, admitted.deadline, now
    )
