"""What backend servers ask for in their answers."""

import itertools
from collections.abc import Iterable
from typing import Final

from dykemast._internal.models.backend import BackendServer, Backpressure
from dykemast._internal.models.forwarding import ResponseHead
from dykemast._internal.operations.server_limits import NO_LIMIT
from dykemast._internal.serving.knowledge.backends import mark_leaving
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('backends')

#: Servers that a line of the log describes.
MAX_DESCRIBED: Final = 8


def record_backpressure(
    board: ServingBoard,
    server: BackendServer,
    head: ResponseHead,
) -> None:
    """Take note of what an answer of a server asks for.

    :param board: the blackboard.
    :param server: the server.
    :param head: head of the answer.
    """
    if head.misdirected:
        # Another server has its address now.
        return
    if head.backpressure.leaving:
        _note_leaving(board, server)
    if head.backpressure.rest:
        until = read_clock() + head.backpressure.rest
        board.backpressure.record_backoff(server.name, until)
    if head.backpressure.limit or head.signed:
        # Only an answer of a run ends a limit: one that turns a request away
        # may come from a part of the server that knows of none.
        rate = head.backpressure.limit or NO_LIMIT
        board.backpressure.limits.record(server.name, rate, read_clock())
    _log_change(board, server, head)


def describe_backpressure(
    board: ServingBoard,
    servers: Iterable[BackendServer],
) -> dict[str, str]:
    """Describe what servers asked for that keeps requests from them.

    :param board: the blackboard.
    :param servers: of one service.
    :returns: texts for the log by server, of some that are held back.
    """
    now = read_clock()
    held: dict[str, str] = {}
    for server in servers:
        rest = board.backpressure.get_backoff(server.name, now)
        limit = board.backpressure.limits.find(server.name)
        if rest:
            held[server.name] = f'rests {rest:.1f} s'
        elif limit:
            held[server.name] = f'limit {limit.rate}'
    return dict(itertools.islice(held.items(), MAX_DESCRIBED))


def _log_change(
    board: ServingBoard,
    server: BackendServer,
    head: ResponseHead,
) -> None:
    if server.name not in board.servers:
        return
    if (
        board.backpressure.last.get(server.name, Backpressure())
        != head.backpressure
    ):
        board.backpressure.last[server.name] = head.backpressure
        _log(
            'server_asks',
            server=server.name,
            request=head.request_id,
            status=head.status,
            **head.backpressure._asdict(),
        )


def _note_leaving(board: ServingBoard, server: BackendServer) -> None:
    if server.server_id in board.server_starts:
        mark_leaving(board, [server.name], 'answer')
    else:
        # Its entry may come back.
        board.backpressure.delisted.record(server, read_clock())
