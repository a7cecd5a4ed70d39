"""What is logged and counted of each request."""

import contextlib
from collections.abc import Iterator
from typing import Any, Final, NamedTuple

from dykemast._internal.platform.request_headers import find_request_id
from dykemast._internal.serving.parts import Parts
from dykemast._internal.serving.requests.admitted_request import AdmittedRequest
from dykemast._internal.serving.requests.refusals import RefusedError
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger
from dykemast._internal.utils.supervision import list_calls

_log = make_logger('request')


#: Outcome of a request that got its whole answer.
SERVED: Final = 'served'


class CutRequest(NamedTuple):
    """A request that was in progress when the process ended.

    :param request_id: id that the caller gave it.
    :param started: seconds on the steady clock when it came.
    :param begun: whether its answer had begun.
    """

    request_id: str
    started: float
    begun: bool


def log_admitted(admitted: AdmittedRequest, connection: str) -> None:
    """Log that a request was let in, and why so.

    :param admitted: the request.
    :param connection: address of the caller's end of its connection; the same
        for all requests over one connection.
    """
    request = admitted.request
    workspace = admitted.workspace
    _log(
        'admitted',
        request=request.request_id,
        route=admitted.route.name,
        service=admitted.service.name,
        workspace=workspace.name if workspace else None,
        version=admitted.version,
        tokens=request.prompt_tokens + request.output_tokens,
        left_s=round(admitted.deadline - admitted.started, 3),
        connection=connection,
    )


def log_left(request_id: str, error: ConnectionError) -> None:
    """Log that a caller left before its request was whole.

    :param request_id: id that it gave the request.
    :param error: what was seen of it.
    """
    _log('caller_left', request=request_id, reason=str(error))


@contextlib.contextmanager
def tell_failure(parts: Parts, scope: Any) -> Iterator[None]:
    """Log and count a request that an unexpected error ends.

    :param parts: parts of the program.
    :param scope: ASGI scope of the request.
    :raises Exception: the error, as the listener ends the answer.
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
            calls=list_calls(error),
        )
        raise


def note_cut(parts: Parts, cut: CutRequest) -> None:
    """Log and count a request that the end of this process cuts off.

    :param parts: parts of the program.
    :param cut: the request.
    """
    parts.metrics.refusals.inc({'code': 'cut_by_stop'})
    _log(
        'cut_by_stop',
        request=cut.request_id,
        begun=cut.begun,
        took_s=round(read_clock() - cut.started, 3),
    )


def note_end(parts: Parts, admitted: AdmittedRequest, outcome: str) -> None:
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


def note_refusal(
    parts: Parts,
    error: RefusedError,
    request_id: str,
    started: float,
) -> None:
    """Log and count a refusal, or an answer that cannot be finished.

    :param parts: parts of the program.
    :param error: the refusal.
    :param request_id: id that the caller gave the request.
    :param started: seconds at which it came.
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
