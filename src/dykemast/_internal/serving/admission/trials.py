"""Which requests run alone, so that the next end of a server decides.

Requests that broke off at the same ends are not told apart by these. Where
each can have a server of its own they are sent to different ones; where not,
they take turns at one router, so that a further end has one of them alone
under it, and the others come to their end.
"""

from typing import Final

from dykemast._internal.operations.crash_sequences import find_crash_sequence
from dykemast._internal.operations.crash_runs import TRIAL_CRASHES, list_rivals
from dykemast._internal.operations.rendezvous import choose_owner
from dykemast._internal.operations.request_identity import RequestIdentity
from dykemast._internal.serving.knowledge.backends import list_usable
from dykemast._internal.serving.state.board import ServingBoard, list_live_peers
from dykemast._internal.utils.clock import read_clock

#: Seconds since an end in which one router alone has these turns; later all
#: have, as the callers of one may not ask for each request.
EXCLUSIVE_TRIAL_S: Final = 10.0


def is_on_trial(board: ServingBoard, identity: RequestIdentity) -> bool:
    """Tell whether the next end of a server decides about a request.

    :param board: the blackboard.
    :param identity: of the request.
    :returns: whether it does.
    """
    if board.crashes.is_empty() and not board.broken.pending.is_set():
        return False
    request = identity.compute_digest()
    if request in board.crashes.quarantines:
        return True
    # What broke off a moment ago may turn out to be the end of a server.
    known = board.crashes.crash_sequences.get(request, [])
    ends = find_crash_sequence([*known, *board.broken.list_runs(request)])
    return len(ends) >= TRIAL_CRASHES


def may_start_trial(board: ServingBoard, request: str, service: str) -> bool:
    """Tell whether a request on trial may be sent from here now.

    :param board: the blackboard.
    :param request: its digest.
    :param service: name of the service that it is for.
    :returns: whether it may.
    """
    if request in board.trials:
        return False
    rivals = list_rivals(board.crashes, request)
    if not rivals or len(rivals) < _count_servers(board, service):
        return True
    if not board.trials.isdisjoint(rivals):
        return False
    return _is_over(board, request) or is_responsible(board, service)


def is_responsible(board: ServingBoard, duty: str) -> bool:
    """Tell whether this router has a duty that one router has.

    :param board: the blackboard.
    :param duty: its name.
    :returns: whether it has.
    """
    heard = [peer.card.instance for peer in list_live_peers(board)]
    own = board.settings.name
    return choose_owner(duty, [own, *heard]) == own


def _count_servers(board: ServingBoard, service: str) -> int:
    servers = {one.name for one in list_usable(board, service)}
    return len(servers - board.crashes.crashes.keys())


def _is_over(board: ServingBoard, request: str) -> bool:
    sequence = board.crashes.crash_sequences[request]
    return read_clock() - sequence[-1].ended_at > EXCLUSIVE_TRIAL_S
