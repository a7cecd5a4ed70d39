"""Whether a request may be sent to servers, by what it did to others.

One request ended a dozen servers, each with the answers of up to two dozen
others, as its caller asked again at one router after the other.
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

#: Seconds after which a caller may come back while the same request, or one
#: that is not told from it, runs alone: longer than a server that it ends takes
#: to be noticed.
TRIAL_RETRY_S: Final = 1.0
#: Rivals of a request that a log line names.
MAX_RIVALS: Final = 8
#: Seconds after which one may come back to a router that has just started, or
#: woken up, and asks which requests are in quarantine.
STARTUP_RETRY_S: Final = 0.2


def check_quarantine(board: ServingBoard, identity: RequestIdentity) -> None:
    """Check that a request is not in quarantine.

    :param board: the blackboard.
    :param identity: of the request.
    :raises RefusedError: when it is.
    """
    if not is_crash_table_current(board):
        details = {'instead': RefusalCode.quarantined.name}
        raise RefusedError(RefusalCode.not_current, details, STARTUP_RETRY_S)
    if board.crashes.is_empty():
        return
    request = identity.compute_digest()
    held = _measure_hold(board, request)
    if held:
        raise _refuse(board, request, held)


def _measure_hold(board: ServingBoard, request: str) -> float:
    """Measure for how long a request has to stay away; 0 if it may go on."""
    now = read_clock()
    settling = compute_decision_delay(board.crashes, request, now)
    left = board.crashes.get_quarantine_left(request, now)
    if settling or left is None:
        return settling
    if not left and not is_responsible(board, request):
        # It is over: one router finds out whether it still ends servers.
        return TRIAL_RETRY_S
    return left


@contextlib.contextmanager
def admit_request(
    board: ServingBoard,
    identity: RequestIdentity,
    service: str,
) -> Iterator[None]:
    """Let a request on that is not in quarantine, alone if it is on trial.

    :param board: the blackboard.
    :param identity: of the request.
    :param service: name of the service that it is for.
    :raises RefusedError: when it may not go on.
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
    """Find out whether a server has ended under a request.

    :param board: the blackboard.
    :param identity: of the request.
    :returns: its digest; empty when none has.
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
