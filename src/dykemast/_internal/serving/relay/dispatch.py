"""Dispatch of admitted requests by the kind of their route."""

import contextlib

from dykemast._internal.models.routing_table import RouteKind
from dykemast._internal.serving.admission.checks import check_servers
from dykemast._internal.serving.admission.quarantine import admit_request
from dykemast._internal.serving.parts import Parts
from dykemast._internal.serving.relay import plain_calls
from dykemast._internal.serving.relay.event_streams import EventStream
from dykemast._internal.serving.relay.exchange import Exchange
from dykemast._internal.serving.relay.payments import Payment
from dykemast._internal.serving.relay.resumptions import restrict_resumption
from dykemast._internal.serving.requests.admitted_request import AdmittedRequest


async def serve(exchange: Exchange) -> None:
    """Serve a request.

    :param exchange: the request.
    :raises RefusedError: when the response was not delivered completely.
    """
    exchange = await restrict_resumption(exchange, exchange.parts.origins)
    check_servers(exchange.parts.board, exchange.admitted)
    # Precedes the reservation of tokens.
    service = exchange.admitted.service.name
    with admit_request(exchange.parts.board, exchange.identity, service):
        if exchange.admitted.route.kind is RouteKind.stream:
            await _serve_stream(exchange)
        else:
            await plain_calls.serve_plain(exchange)


async def _serve_stream(exchange: Exchange) -> None:
    """Serve a request that is answered by an event stream."""
    parts, admitted = exchange.parts, exchange.admitted
    payment = Payment(parts, admitted)
    stream = EventStream(exchange, payment)
    await payment.hold()
    with contextlib.ExitStack() as ending:
        ending.callback(_settle, parts, admitted, payment, stream)
        await stream.serve()


def _settle(
    parts: Parts,
    admitted: AdmittedRequest,
    payment: Payment,
    stream: EventStream,
) -> None:
    payment.settle()
    first_at = stream.relay.first_at
    if first_at:
        took = first_at - admitted.started
        parts.metrics.first_byte.observe({'kind': 'stream'}, took)
