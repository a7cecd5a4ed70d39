"""Admission of requests by the crashes that they are suspected of.

In one incident a single request crashed a dozen servers, each with up to two
dozen other responses in progress, because its caller repeated it at one router
after another.
"""

import contextlib
from collections.abc import Iterator
from typing import Final

from dykemast._internal.operations.crash_review import compute_decision_delay
from dykemast._internal.operations.crash_runs import list_rivals
from dykemast._internal.operations.request_identity import RequestIdentity
from dykemast._internal.serving.admission.trials import (
    is_responsible,
    is_on_trial,
    may_start_trial,
)
from dykemast._internal.serving.requests.refusals import (
    RefusalCode,
    RefusedError,
)
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.state.quarantines import is_crash_table_current
from dykemast._internal.utils.clock import read_clock

#: Retry-after time while the same request, or a rival, is on trial. It exceeds
#: the time to detect a crash.
TRIAL_RETRY_S: Final = 1.0
#: Maximum number of rivals in a log line.
MAX_RIVALS: Final = 8
#: Retry-after time while a router that has just started, or resumed, reads the
#: quarantines.
STARTUP_RETRY_S: Final = 0.2


def check_quarantine(board: ServingBoard, identity: RequestIdentity) -> None:
    """Refuse a request that is quarantined.

    :param board: shared state of the router.
    :param identity: digest of the request.
    :raises RefusedError: when the request is quarantined.
    """
    if not is_crash_table_current(board):
        details = {'instead': RefusalCode.quarantined.name}
        raise RefusedError(RefusalCode.not_current, details, STARTUP_RETRY_S)
    if board.crashes.is_empty():
        return
    request = identity.compute_digest()
    hold_time = _compute_hold_time(board, request)
    if hold_time:
        raise _refuse(board, request, hold_time)


def _compute_hold_time(board: ServingBoard, request: str) -> float:
    """Compute the seconds for which a request is held back; 0 for none."""
    now = read_clock()
    decision_delay = compute_decision_delay(board.crashes, request, now)
    remaining = board.crashes.get_quarantine_left(request, now)
    if decision_delay or remaining is None:
        return decision_delay
    if not remaining and not is_responsible(board, request):
        # The quarantine has expired: one router tests whether the request still
        # crashes servers.
        return TRIAL_RETRY_S
    return remaining


@contextlib.contextmanager
def admit_request(
    board: ServingBoard,
    identity: RequestIdentity,
    service: str,
) -> Iterator[None]:
    """Admit a request that is not quarantined; alone if it is on trial.

    :param board: shared state of the router.
    :param identity: digest of the request.
    :param service: name of its service.
    :raises RefusedError: when the request is not admitted.
    """
    check_quarantine(board, identity)
    if not is_on_trial(board, identity):
        yield
        return
    request = identity.compute_digest()
    if not may_start_trial(board, request, service):
        raise _refuse(board, request, TRIAL_RETRY_S)
    board.trials.add(request)
    try:
        yield
    finally:
        board.trials.discard(request)


def find_suspect_digest(board: ServingBoard, identity: RequestIdentity) -> str:
    """Return the digest of a request that is a suspect.

    :param board: shared state of the router.
    :param identity: digest of the request.
    :returns: the digest; empty if no server has crashed under the request.
    """
    if board.crashes.is_empty():
        return ''
    request = identity.compute_digest()
    return request if board.crashes.count_crashes(request) else ''


def _refuse(
    board: ServingBoard,
    request: str,
    retry_after: float,
) -> RefusedError:
    sequence = board.crashes.crash_sequences.get(request, [])
    details = {
        'same_as': request,
        'servers': [run.server for run in sequence],
        'on_trial': request in board.trials,
        'rivals': sorted(list_rivals(board.crashes, request))[:MAX_RIVALS],
    }
    return RefusedError(RefusalCode.quarantined, details, retry_after)
