"""Trials: suspect requests that run alone, so that the next crash decides.

Requests that were on the same crashed servers cannot be told apart. If each can
have a server of its own, they are sent to different servers. Otherwise they
take turns on one router, so that the next crash has only one of them as a
suspect and the others complete.
"""

from typing import Final

from dykemast._internal.operations.crash_sequences import find_crash_sequence
from dykemast._internal.operations.crash_runs import TRIAL_CRASHES, list_rivals
from dykemast._internal.operations.rendezvous import choose_owner
from dykemast._internal.operations.request_identity import RequestIdentity
from dykemast._internal.serving.knowledge.backends import list_usable
from dykemast._internal.serving.state.board import ServingBoard, list_live_peers
from dykemast._internal.utils.clock import read_clock

#: Time since a crash during which a single router runs these trials. After that
#: all routers do, since the callers of one router may not send each of the
#: requests.
EXCLUSIVE_TRIAL_S: Final = 10.0


def is_on_trial(board: ServingBoard, identity: RequestIdentity) -> bool:
    """Check whether the next crash decides about a request.

    :param board: shared state of the router.
    :param identity: digest of the request.
    :returns: whether it does.
    """
    if board.crashes.is_empty() and not board.broken.pending.is_set():
        return False
    request = identity.compute_digest()
    if request in board.crashes.quarantines:
        return True
    # A recent broken send may have been a crash.
    known = board.crashes.crash_sequences.get(request, [])
    extended_sequence = find_crash_sequence(
        [*known, *board.broken.list_runs(request)]
    )
    return len(extended_sequence) >= TRIAL_CRASHES


def may_start_trial(board: ServingBoard, request: str, service: str) -> bool:
    """Check whether this router may send a request on trial now.

    :param board: shared state of the router.
    :param request: digest of the request.
    :param service: name of its service.
    :returns: whether it is allowed.
    """
    if request in board.trials:
        return False
    rivals = list_rivals(board.crashes, request)
    if not rivals or len(rivals) < _count_servers(board, service):
        return True
    if not board.trials.isdisjoint(rivals):
        return False
    return _is_overdue(board, request) or is_responsible(board, service)


def is_responsible(board: ServingBoard, task: str) -> bool:
    """Check whether this router owns a task.

    Rendezvous hashing over the live routers assigns each task to one of them.

    :param board: shared state of the router.
    :param task: name of the task.
    :returns: whether it is.
    """
    live_peers = [peer.card.instance for peer in list_live_peers(board)]
    own = board.settings.name
    return choose_owner(task, [own, *live_peers]) == own


def _count_servers(board: ServingBoard, service: str) -> int:
    servers = {one.name for one in list_usable(board, service)}
    return len(servers - board.crashes.crashes.keys())


def _is_overdue(board: ServingBoard, request: str) -> bool:
    sequence = board.crashes.crash_sequences[request]
    return read_clock() - sequence[-1].ended_at > EXCLUSIVE_TRIAL_S
