"""What is sent to a backend server."""

from collections.abc import Callable
from typing import NamedTuple

from dykemast._internal.models.backend import BackendServer
from dykemast._internal.models.caller_request import CallerRequest
from dykemast._internal.models.forwarding import Forwarding
from dykemast._internal.operations.priorities import choose_priority
from dykemast._internal.serving.requests.ticket import Ticket
from dykemast._internal.utils.clock import read_clock


class Sending(NamedTuple):
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
    added: Forwarding
    deadline: float
    made_at: float

    def resume_after(self, event: str) -> 'Sending':
        """Ask for a stream from after an event.

        :param event: its id; empty for the whole stream.
        :returns: what to send.
        """
        return self._replace(added=self.added._replace(after_event=event))


#: Raises when a send must not go out after all.
CheckSend = Callable[[Sending], None]


def make_sending(
    ticket: Ticket,
    body: bytes,
    server: BackendServer,
) -> Sending:
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
    added = Forwarding(
        server=server.server_id,
        workspace=workspace.name if workspace else '',
        seconds=ticket.deadline - now,
        priority=priority,
    )
    return Sending(server, ticket.request, body, added, ticket.deadline, now)
