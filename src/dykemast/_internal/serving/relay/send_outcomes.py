"""Recording of the outcomes of sends."""

from dykemast._internal.exceptions import BackpressureError, UpstreamError
from dykemast._internal.serving.choice.outcomes import (
    record_absent,
    record_outcome,
)
from dykemast._internal.serving.relay.crash_recording import (
    record_broken_send,
    record_healthy_run,
)
from dykemast._internal.serving.relay.exchange import Exchange
from dykemast._internal.serving.relay.sends import Send
from dykemast._internal.serving.sending.peer_tunnels import carrier
from dykemast._internal.utils.events import make_logger

_log = make_logger('route')


def record_success(exchange: Exchange, send: Send) -> None:
    """Record a response that was delivered completely.

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
    """Record a send that failed.

    :param exchange: the request.
    :param send: the send.
    :param error: the error of the send.
    """
    if not isinstance(error, BackpressureError):
        # This router held the send back, so the server did not fail.
        record_outcome(exchange.parts, send.server, failed=True)
    record_broken_send(exchange.parts.board, send, error)
    if error.absent:
        record_absent(exchange.parts, send.server)
    peer = carrier.get()
    if error.broken and peer:
        exchange.parts.paths.tunnels.avoid(peer)
    _log(
        'send_failed',
        request=exchange.admitted.request.request_id,
        server=send.server.name,
        may_have_run=error.sent,
        reason=str(error),
        **send.describe_break(error),
    )
