"""Admission of requests by the crashes that they, or parts, are suspected of.

In one incident a single request crashed a dozen servers, each with up to two
dozen other responses in progress, because its caller repeated it at one router
after another.
"""

import contextlib
from collections.abc import Collection, Iterator
from typing import Final

from dykemast._internal.operations.crash_review import compute_decision_delay
from dykemast._internal.operations.crash_runs import list_rivals
from dykemast._internal.operations.request_identity import RequestIdentity
from dykemast._internal.serving.admission.trials import (
    is_responsible,
    is_separated,
    list_on_trial,
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
    :param identity: names of the request and of the parts of its prompt.
    :raises RefusedError: when the request is quarantined, or a part of it.
    """
    if not is_crash_table_current(board):
        details = {'instead': RefusalCode.quarantined.name}
        raise RefusedError(RefusalCode.not_current, details, STARTUP_RETRY_S)
    if board.crashes.is_empty():
        return
    names = identity.list_names()
    for name in names:
        hold_time = _compute_hold_time(board, name, names)
        if hold_time:
            raise _refuse(board, name, hold_time)


def _compute_hold_time(
    board: ServingBoard, request: str, names: Collection[str]
) -> float:
    """Compute the seconds for which a request is held back; 0 for none.

    :param board: shared state of the router.
    :param request: name of the request or of a part of its prompt.
    :param names: names of the request and of all parts of its prompt.
    :returns: seconds.
    """
    now = read_clock()
    decision_delay = compute_decision_delay(board.crashes, request, now)
    remaining = board.crashes.get_quarantine_left(request, now)
    if decision_delay or remaining is None:
        return decision_delay
    may_test = not remaining or is_separated(board.crashes, request, names)
    if may_test and not is_responsible(board, request):
        # One router tests whether the request crashes servers.
        return TRIAL_RETRY_S
    return 0 if may_test else remaining


@contextlib.contextmanager
def admit_request(
    board: ServingBoard,
    identity: RequestIdentity,
    service: str,
) -> Iterator[None]:
    """Admit a request that is not quarantined; alone if it is on trial.

    :param board: shared state of the router.
    :param identity: names of the request and of the parts of its prompt.
    :param service: name of its service.
    :raises RefusedError: when the request is not admitted.
    """
    check_quarantine(board, identity)
    on_trial = list_on_trial(board, identity)
    for name in on_trial:
        if not may_start_trial(board, name, service):
            raise _refuse(board, name, TRIAL_RETRY_S)
    board.trials.update(on_trial)
    try:
        yield
    finally:
        board.trials.difference_update(on_trial)


def find_isolate_key(board: ServingBoard, identity: RequestIdentity) -> str:
    """Return the name by which a server is chosen for a suspect.

    :param board: shared state of the router.
    :param identity: names of the request and of the parts of its prompt.
    :returns: the name; empty if no server has crashed under the request, and no
        part of its prompt is on trial.
    """
    if board.crashes.is_empty():
        return ''
    request = identity.compute_digest()
    if board.crashes.count_crashes(request):
        return request
    return next(iter(list_on_trial(board, identity)), '')


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
