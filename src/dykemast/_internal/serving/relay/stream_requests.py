"""Streamed requests, paid for out of their workspace's budget."""

import contextlib

from dykemast._internal.serving.tokens.holds import Hold
from dykemast._internal.serving.relay.event_streams import EventStream
from dykemast._internal.serving.relay.exchange import Exchange
from dykemast._internal.serving.parts import Parts
from dykemast._internal.serving.requests.ticket import Ticket


async def serve_stream(exchange: Exchange) -> None:
    """Serve a request that is answered by a stream of events.

    :param exchange: the request.
    :raises RefusedError: when it is not served whole.
    """
    parts, ticket = exchange.parts, exchange.ticket
    hold = await _hold_tokens(parts, ticket)
    stream = EventStream(exchange)
    with contextlib.ExitStack() as ending:
        ending.callback(_settle, parts, ticket, hold, stream)
        await stream.serve()


async def _hold_tokens(parts: Parts, ticket: Ticket) -> Hold | None:
    workspace = ticket.workspace
    if workspace is None or workspace.prepaid is None:
        return None
    tokens = ticket.request.prompt_tokens + ticket.request.output_tokens
    priority = ticket.route.priority
    hold = await parts.budgets.hold(workspace, tokens, priority)
    parts.meters.tokens.add({'state': 'held'}, tokens)
    return hold


def _settle(
    parts: Parts,
    ticket: Ticket,
    hold: Hold | None,
    stream: EventStream,
) -> None:
    if hold:
        used = stream.count_used()
        parts.budgets.settle(hold, used)
        parts.meters.tokens.add({'state': 'consumed'}, used)
    first_at = stream.relay.first_at
    if first_at:
        took = first_at - ticket.started
        parts.meters.first_byte.observe({'kind': 'stream'}, took)
