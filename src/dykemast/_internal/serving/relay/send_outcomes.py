"""Take note of what a send came to."""

from dykemast._internal.exceptions import BackpressureError, UpstreamError
from dykemast._internal.serving.choice.outcomes import (
    record_absent,
    record_outcome,
)
from dykemast._internal.serving.relay.crash_recording import record_healthy_run
from dykemast._internal.serving.relay.crash_watch import record_broken_send
from dykemast._internal.serving.relay.exchange import Exchange
from dykemast._internal.serving.relay.sends import Send
from dykemast._internal.utils.events import make_logger

_log = make_logger('route')


def record_success(exchange: Exchange, send: Send) -> None:
    """Take note of an answer that was passed on whole.

    :param exchange: the request.
    :param send: the send.
    """
    record_outcome(exchange.parts, send.server, failed=False)
    record_healthy_run(exchange.parts.board, send)


def record_failure(
    exchange: Exchange,
    send: Send,
    error: UpstreamError,
) -> None:
    """Take note of a send that failed.

    :param exchange: the request.
    :param send: the send.
    :param error: how it failed.
    """
    if not isinstance(error, BackpressureError):
        # Not a failure of the server.
        record_outcome(exchange.parts, send.server, failed=True)
    record_broken_send(exchange.parts.board, send, error)
    if error.absent:
        record_absent(exchange.parts, send.server)
    _log(
        'send_failed',
        request=exchange.admitted.request.request_id,
        server=send.server.name,
        may_have_run=error.sent,
        reason=str(error),
        **send.describe_break(error),
    )
