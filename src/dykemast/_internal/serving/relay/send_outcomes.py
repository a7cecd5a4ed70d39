"""Take note of what a send came to."""

from dykemast._internal.exceptions import HeldBackError, UpstreamError
from dykemast._internal.serving.choice.outcomes import (
    note_absent,
    note_outcome,
)
from dykemast._internal.serving.relay.crash_notes import note_well
from dykemast._internal.serving.relay.crash_watch import note_break
from dykemast._internal.serving.relay.exchange import Exchange
from dykemast._internal.serving.relay.sends import Send
from dykemast._internal.utils.events import make_logger

_log = make_logger('route')


def note_success(exchange: Exchange, send: Send) -> None:
    """Take note of an answer that was passed on whole.

    :param exchange: the request.
    :param send: the send.
    """
    note_outcome(exchange.parts, send.server, failed=False)
    note_well(exchange.parts.board, send)


def note_failure(
    exchange: Exchange,
    send: Send,
    error: UpstreamError,
) -> None:
    """Take note of a send that failed.

    :param exchange: the request.
    :param send: the send.
    :param error: how it failed.
    """
    if not isinstance(error, HeldBackError):
        # Not a failure of the server.
        note_outcome(exchange.parts, send.server, failed=True)
    note_break(exchange.parts.board, send, error)
    if error.absent:
        note_absent(exchange.parts, send.server)
    _log(
        'send_failed',
        request=exchange.ticket.request.request_id,
        server=send.server.name,
        may_have_run=error.sent,
        reason=str(error),
        **send.describe_break(error),
    )
