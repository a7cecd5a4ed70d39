"""Log lines and metrics of each request."""

import contextlib
from collections.abc import Iterator
from typing import Any, Final, NamedTuple

from dykemast._internal.platform.request_headers import find_request_id
from dykemast._internal.serving.parts import Parts
from dykemast._internal.serving.requests.admitted_request import AdmittedRequest
from dykemast._internal.serving.requests.refusals import RefusedError
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger
from dykemast._internal.utils.supervision import format_calls

_log = make_logger('request')


#: Outcome of a request that got its complete response.
SERVED: Final = 'served'


class CancelledRequest(NamedTuple):
    """A request that a stop of this process cancelled.

    :param request_id: id that the caller gave it.
    :param started: time of its arrival, in seconds of ``read_clock``.
    :param begun: whether its response had begun.
    """

    request_id: str
    started: float
    begun: bool


def log_admitted(admitted: AdmittedRequest, connection: str) -> None:
    """Log that a request was admitted, and with which route and service.

    :param admitted: the request.
    :param connection: address and port of the caller; the same for all
        requests over one connection.
    """
    request = admitted.request
    workspace = admitted.workspace
    resumed = {}
    if request.last_event_id:
        resumed = {
            'first_request': request.first_request_id,
            'after': request.last_event_id,
        }
    _log(
        'admitted',
        request=request.request_id,
        route=admitted.route.name,
        service=admitted.service.name,
        workspace=workspace.name if workspace else None,
        version=admitted.version,
        tokens=request.prompt_tokens + request.output_tokens,
        prompt_tokens=request.prompt_tokens,
        left_s=round(admitted.deadline - read_clock(), 3),
        connection=connection,
        **resumed,
    )


def log_disconnect(request_id: str, error: ConnectionError) -> None:
    """Log that a caller disconnected before its request was complete.

    :param request_id: id that the caller gave the request.
    :param error: the error of its connection.
    """
    _log('caller_left', request=request_id, reason=str(error))


@contextlib.contextmanager
def record_failure(parts: Parts, scope: Any) -> Iterator[None]:
    """Log and count a request that an unexpected error ends.

    :param parts: parts of the program.
    :param scope: ASGI scope of the request.
    :raises Exception: the error again, since the listener ends the response.
    """
    try:
        yield
    except (RefusedError, ConnectionError):
        raise
    except Exception as error:
        parts.metrics.refusals.inc({'code': 'failed'})
        _log(
            'failed',
            request=find_request_id(scope),
            reason=f'{type(error).__name__}: {error}',
            calls=format_calls(error),
        )
        raise


def record_cancelled(parts: Parts, cancelled: CancelledRequest) -> None:
    """Log and count a request that the stop of this process cancels.

    :param parts: parts of the program.
    :param cancelled: the request.
    """
    parts.metrics.refusals.inc({'code': 'cut_by_stop'})
    _log(
        'cut_by_stop',
        request=cancelled.request_id,
        begun=cancelled.begun,
        took_s=round(read_clock() - cancelled.started, 3),
    )


def record_end(parts: Parts, admitted: AdmittedRequest, outcome: str) -> None:
    """Log and count the end of a request that was not refused.

    :param parts: parts of the program.
    :param admitted: the request.
    :param outcome: ``SERVED`` or ``caller_left``.
    """
    now = read_clock()
    took = now - admitted.started
    if outcome == SERVED:
        parts.board.usual_times.record(admitted.route.name, took, now)
    kind = admitted.route.kind.value
    parts.metrics.requests.inc({'kind': kind, 'outcome': outcome})
    parts.metrics.duration.observe({'kind': kind}, took)
    _log(
        outcome,
        request=admitted.request.request_id,
        route=admitted.route.name,
        took_s=round(took, 3),
    )


def record_refusal(
    parts: Parts,
    error: RefusedError,
    request_id: str,
    started: float,
) -> None:
    """Log and count a refusal, or a response that cannot be completed.

    :param parts: parts of the program.
    :param error: the refusal.
    :param request_id: id that the caller gave the request.
    :param started: time of its arrival, in seconds of ``read_clock``.
    """
    parts.metrics.refusals.inc({'code': error.code.name})
    _log(
        'refused',
        request=request_id,
        code=error.code.name,
        status=int(error.code.value.status),
        retry_after_s=error.retry_after,
        took_s=round(read_clock() - started, 3),
        **error.details,
    )
