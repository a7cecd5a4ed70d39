"""Serve a request that was let in, by the kind of its route."""

from dykemast._internal.models.routing_table import RouteKind
from dykemast._internal.serving import plain_calls, stream_requests
from dykemast._internal.serving.parts import Parts
from dykemast._internal.serving.responder import Responder
from dykemast._internal.serving.ticket import Ticket


async def serve_ticket(
    parts: Parts,
    ticket: Ticket,
    body: bytes,
    responder: Responder,
) -> None:
    """Serve a request.

    :param parts: parts of the program.
    :param ticket: the request.
    :param body: its body.
    :param responder: answers the caller.
    :raises RefusedError: when it was not served whole.
    """
    if ticket.route.kind is RouteKind.stream:
        await stream_requests.serve_stream(parts, ticket, body, responder)
    else:
        await plain_calls.serve_plain(parts, ticket, body, responder)
