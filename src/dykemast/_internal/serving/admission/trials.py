"""Trials: suspect requests that run alone, so that the next crash decides.

A part of prompts on trial is in one request at a time at each router.

Requests that were on the same crashed servers cannot be told apart. If each can
have a server of its own, they are sent to different servers. Otherwise they
take turns on one router, so that the next crash has only one of them as a
suspect and the others complete.
"""

from collections.abc import Collection
from typing import Final

from dykemast._internal.operations.crash_sequences import find_crash_sequence
from dykemast._internal.operations.crash_runs import (
    TRIAL_CRASHES,
    list_rivals,
    list_suspects_at,
)
from dykemast._internal.operations.crash_table import CrashTable
from dykemast._internal.operations.rendezvous import choose_owner
from dykemast._internal.operations.request_identity import (
    RequestIdentity,
    is_part,
)
from dykemast._internal.serving.knowledge.backends import list_usable
from dykemast._internal.serving.state.board import ServingBoard, list_live_peers
from dykemast._internal.utils.clock import read_clock

#: Time since a crash during which a single router runs these trials. After that
#: all routers do, since the callers of one router may not send each of the
#: requests.
EXCLUSIVE_TRIAL_S: Final = 10.0


def list_on_trial(board: ServingBoard, identity: RequestIdentity) -> list[str]:
    """List what is on trial when a request runs: the next crash decides.

    :param board: shared state of the router.
    :param identity: names of the request and of the parts of its prompt.
    :returns: those names of which the next crash decides.
    """
    if board.crashes.is_empty() and not board.broken.pending.is_set():
        return []
    request = identity.compute_digest()
    # Parts are in many requests, and broken links break many sends, so for them
    # only crashes that have been confirmed count.
    on_trial = [
        part
        for part in identity.list_part_names()
        if board.crashes.count_crashes(part) >= TRIAL_CRASHES
        or part in board.crashes.quarantines
    ]
    if _is_request_on_trial(board, request):
        on_trial.append(request)
    return on_trial


def _is_request_on_trial(board: ServingBoard, request: str) -> bool:
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
    :param request: digest of the request, or name of a part of its prompt.
    :param service: name of its service.
    :returns: whether it is allowed.
    """
    if request in board.trials:
        return False
    if is_part(request):
        # Most requests that hold a suspected part are sound, and the first of
        # them clears it.
        return True
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


def is_separated(table: CrashTable, name: str, names: Collection[str]) -> bool:
    """Check whether a request tells a quarantined part from another one.

    Parts that were on the same crashed servers are quarantined together. A
    request with only one of them shows which one crashes servers.

    :param table: the crash table.
    :param name: name of the quarantined part.
    :param names: names of the request and of the parts of its prompt.
    :returns: whether another quarantined part, not in the request, was on all
        servers that crashed under this one.
    """
    if not is_part(name):
        return False
    sequence = table.crash_sequences.get(name, [])
    present = [set(list_suspects_at(table, run.server)) for run in sequence]
    if not present:
        return False
    return any(
        other in table.quarantines and is_part(other)
        for other in set.intersection(*present).difference(names)
    )


def _count_servers(board: ServingBoard, service: str) -> int:
    servers = {one.name for one in list_usable(board, service)}
    return len(servers - board.crashes.crashes.keys())


def _is_overdue(board: ServingBoard, request: str) -> bool:
    sequence = board.crashes.crash_sequences[request]
    return read_clock() - sequence[-1].ended_at > EXCLUSIVE_TRIAL_S
