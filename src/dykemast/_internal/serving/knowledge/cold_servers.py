"""Track which backend servers are cold, or not used for a while."""

from typing import Final

from dykemast._internal.models.backend import BackendServer
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('backends')

#: Seconds for which a server that returned counts as cold until its entry is
#: updated: one of its heartbeats, and the time until routers see it.
COLD_RECHECK_S: Final = 2.5
#: Seconds after which the entry of a server that ended is gone again: three of
#: its heartbeats, and the time until routers see it.
COPY_HOLD_S: Final = 5.0


def record_cold_time(board: ServingBoard, server: BackendServer) -> None:
    """Record for how long a server stays cold, by its new entry.

    :param board: the blackboard.
    :param server: the server, as its entry describes it.
    """
    board.cold_until.pop(server.name, None)
    if server.cold_left_s:
        board.cold_until[server.name] = read_clock() + server.cold_left_s


def mark_returned(board: ServingBoard, name: str) -> None:
    """Treat a server that returned as cold until its entry is updated.

    :param board: the blackboard.
    :param name: name of its incarnation.
    """
    until = read_clock() + COLD_RECHECK_S
    board.cold_until[name] = max(until, board.cold_until.get(name, until))


def mark_hall_returned(board: ServingBoard, hall: str) -> None:
    """Treat the servers of a hall that is no longer evacuated as cold.

    :param board: the blackboard.
    :param hall: the hall.
    """
    for server in board.servers.values():
        if server.hall == hall:
            mark_returned(board, server.name)


def is_cold(board: ServingBoard, name: str, now: float) -> bool:
    """Tell whether a server counts as cold.

    :param board: the blackboard.
    :param name: name of its incarnation.
    :param now: seconds.
    :returns: whether it does.
    """
    return now < board.cold_until.get(name, now)


def hold_copied(board: ServingBoard, server: BackendServer) -> None:
    """Use a server for a while only if it writes its entry again.

    That is if its entry had gone before the store returned from an older copy
    that lists it.

    :param board: the blackboard, which the server is about to be added to.
    :param server: the server, as its entry describes it.
    """
    if not board.backpressure.removed.may_be_copied(server):
        board.held_until.pop(server.name, None)
    elif server.name not in board.servers:
        until = read_clock() + COPY_HOLD_S
        board.held_until[server.name] = until
        _log('server_held', server=server.name, seconds=COPY_HOLD_S)
