"""What is sent to a backend server."""

from collections.abc import Callable
from typing import NamedTuple

from dykemast._internal.models.backend import BackendServer
from dykemast._internal.models.caller_request import CallerRequest
from dykemast._internal.models.forwarding import ForwardingFields
from dykemast._internal.operations.priorities import choose_priority
from dykemast._internal.serving.requests.ticket import Ticket
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

    def resume_after(self, event: str) -> 'Sending':
        """Ask for a stream from after an event.

        :param event: its id; empty for the whole stream.
        :returns: what to send.
        """
        return self._replace(added=self.added._replace(after_event=event))


#: Raises when a send must not go out after all.
CheckSend = Callable[[UpstreamRequest], None]


def make_upstream_request(
    ticket: Ticket,
    body: bytes,
    server: BackendServer,
) -> UpstreamRequest:
    """Make what is sent of a request.

    :param ticket: the request.
    :param body: its body.
    :param server: the server that gets it.
    :returns: what to send.
    """
    workspace = ticket.workspace
    now = read_clock()
    priority = None
    if ticket.service.engine:
        priority = choose_priority(workspace, ticket.route)
    added = ForwardingFields(
        server=server.server_id,
        workspace=workspace.name if workspace else '',
        time_left_s=ticket.deadline - now,
        priority=priority,
    )
    return UpstreamRequest(
        server, ticket.request, body, added, ticket.deadline, now
    )
