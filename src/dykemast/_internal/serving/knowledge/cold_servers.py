"""Which backend servers are cold, as far as this router knows."""

from typing import Final

from dykemast._internal.models.backend import BackendServer
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import read_clock

#: Seconds for which a server that is back counts as cold before its entry
#: tells: a heartbeat of 1.2 s until it is written, and until that is heard.
RECHECK_TIME: Final = 2.5


def record_cold_time(board: ServingBoard, server: BackendServer) -> None:
    """Take over what a new entry says of its server.

    :param board: the blackboard.
    :param server: the server, as its entry describes it.
    """
    board.cold_until.pop(server.name, None)
    if server.cold_left_s:
        board.cold_until[server.name] = read_clock() + server.cold_left_s


def mark_returned(board: ServingBoard, name: str) -> None:
    """Take a server that is back for cold until its entry says otherwise.

    :param board: the blackboard.
    :param name: the name of its start.
    """
    until = read_clock() + RECHECK_TIME
    board.cold_until[name] = max(until, board.cold_until.get(name, until))


def mark_hall_returned(board: ServingBoard, hall: str) -> None:
    """Take note that the servers of a hall get requests again.

    :param board: the blackboard.
    :param hall: the hall.
    """
    for server in board.servers.values():
        if server.hall == hall:
            mark_returned(board, server.name)


def is_cold(board: ServingBoard, name: str, now: float) -> bool:
    """Tell whether a server counts as cold.

    :param board: the blackboard.
    :param name: the name of its start.
    :param now: seconds.
    :returns: whether it does.
    """
    return now < board.cold_until.get(name, now)
