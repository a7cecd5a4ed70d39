"""Streamed requests that are paid from the budget of their workspace."""

import contextlib

from dykemast._internal.serving.parts import Parts
from dykemast._internal.serving.relay.event_streams import EventStream
from dykemast._internal.serving.relay.exchange import Exchange
from dykemast._internal.serving.relay.payments import Payment
from dykemast._internal.serving.requests.admitted_request import AdmittedRequest


async def serve_stream(exchange: Exchange) -> None:
    """Serve a request that is answered by an event stream.

    :param exchange: the request.
    :raises RefusedError: when the response was not delivered completely.
    """
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
