"""Whether a request may be sent to servers, by what it did to others.

One request ended a dozen servers, each with the answers of up to two dozen
others, as its caller asked again at one router after the other.
"""

import contextlib
from collections.abc import Iterator
from typing import Final

from dykemast._internal.operations.crash_review import measure_settling
from dykemast._internal.operations.crash_runs import list_rivals
from dykemast._internal.operations.request_identity import RequestIdentity
from dykemast._internal.serving.admission.trials import (
    has_duty,
    is_on_trial,
    may_begin,
)
from dykemast._internal.serving.requests.refusals import (
    RefusalCode,
    RefusedError,
)
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.state.quarantines import knows_all
from dykemast._internal.utils.clock import read_clock

#: Seconds after which a caller may come back while the same request, or one
#: that is not told from it, runs alone: longer than a server that it ends takes
#: to be noticed.
TRIAL_RETRY: Final = 1.0
#: Rivals of a request that a log line names.
MAX_RIVALS: Final = 8
#: Seconds after which one may come back to a router that has just started, or
#: woken up, and asks which requests are in quarantine.
START_RETRY: Final = 0.2


def check_quarantine(board: ServingBoard, identity: RequestIdentity) -> None:
    """Check that a request is not in quarantine.

    :param board: the blackboard.
    :param identity: of the request.
    :raises RefusedError: when it is.
    """
    if not knows_all(board):
        details = {'instead': RefusalCode.quarantined.name}
        raise RefusedError(RefusalCode.not_current, details, START_RETRY)
    if board.crashes.is_empty():
        return
    request = identity.read()
    held = _measure_hold(board, request)
    if held:
        raise _refuse(board, request, held)


def _measure_hold(board: ServingBoard, request: str) -> float:
    """Measure for how long a request has to stay away; 0 if it may go on."""
    now = read_clock()
    settling = measure_settling(board.crashes, request, now)
    left = board.crashes.measure_quarantine(request, now)
    if settling or left is None:
        return settling
    if not left and not has_duty(board, request):
        # It is over: one router finds out whether it still ends servers.
        return TRIAL_RETRY
    return left


@contextlib.contextmanager
def pass_gate(
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
    request = identity.read()
    if not may_begin(board, request, service):
        raise _refuse(board, request, TRIAL_RETRY)
    board.trials.add(request)
    try:
        yield
    finally:
        board.trials.discard(request)


def find_suspicion(board: ServingBoard, identity: RequestIdentity) -> str:
    """Find out whether a server has ended under a request.

    :param board: the blackboard.
    :param identity: of the request.
    :returns: its digest; empty when none has.
    """
    if board.crashes.is_empty():
        return ''
    request = identity.read()
    return request if board.crashes.count_ends(request) else ''


def _refuse(
    board: ServingBoard,
    request: str,
    retry_after: float,
) -> RefusedError:
    chain = board.crashes.chains.get(request, [])
    details = {
        'same_as': request,
        'servers': [run.server for run in chain],
        'on_trial': request in board.trials,
        'rivals': sorted(list_rivals(board.crashes, request))[:MAX_RIVALS],
    }
    return RefusedError(RefusalCode.quarantined, details, retry_after)
