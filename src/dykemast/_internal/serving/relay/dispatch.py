"""Dispatch of admitted requests by the kind of their route."""

from dykemast._internal.models.routing_table import RouteKind
from dykemast._internal.serving.admission.checks import check_servers
from dykemast._internal.serving.admission.quarantine import admit_request
from dykemast._internal.serving.relay import plain_calls, stream_requests
from dykemast._internal.serving.relay.exchange import Exchange


async def serve(exchange: Exchange) -> None:
    """Serve a request.

    :param exchange: the request.
    :raises RefusedError: when the response was not delivered completely.
    """
    check_servers(exchange.parts.board, exchange.admitted)
    # Precedes the reservation of tokens.
    service = exchange.admitted.service.name
    with admit_request(exchange.parts.board, exchange.identity, service):
        if exchange.admitted.route.kind is RouteKind.stream:
            await stream_requests.serve_stream(exchange)
        else:
            await plain_calls.serve_plain(exchange)
