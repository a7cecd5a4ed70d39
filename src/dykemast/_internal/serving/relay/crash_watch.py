"""Find out whether a server ended under a request.

A connection that breaks off shows a broken answer, a cut link or a server
that ended. Only the last counts: nobody listens at its address any more, here
or for another router, or its entry names another start.
"""

import asyncio
from typing import Final

from dykemast._internal.exceptions import UpstreamError
from dykemast._internal.operations.broken_sends import BrokenSend
from dykemast._internal.serving.parts import Parts
from dykemast._internal.serving.relay.crash_recording import record_server_crash
from dykemast._internal.serving.relay.crash_probes import (
    probe_server,
    probe_services,
)
from dykemast._internal.serving.relay.sends import Send
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import read_clock

#: Seconds between two looks. A server that is ended by a request is noticed
#: before its caller asks again.
CHECK_INTERVAL_S: Final = 0.1
#: Seconds after a break in which its server is asked whether it is there; from
#: then on its entry, and what others find, tell it without a connection.
PROBE_WINDOW_S: Final = 0.5


def record_broken_send(
    board: ServingBoard,
    send: Send,
    error: UpstreamError,
) -> None:
    """Take note of a send that failed.

    :param board: the blackboard.
    :param send: the send.
    :param error: how it failed.
    """
    server = send.server
    if server.name in board.leaving:
        # It ends as planned.
        return
    if error.absent:
        record_server_crash(board, server.name, server.service)
    if error.broken:
        now = read_clock()
        broken = BrokenSend(
            server.name,
            send.identity.compute_digest(),
            send.sent_at,
            send.event_at,
            now,
        )
        board.broken.note(broken)


async def watch_breaks(parts: Parts) -> None:
    """Find out which servers ended whose sends broke off, for ever.

    :param parts: parts of the program.
    """
    broken = parts.board.broken
    while True:
        await broken.pending.wait()
        last = broken.list_last()
        looks = [_look(parts, name, at) for name, at in last.items()]
        await asyncio.gather(*looks)
        await probe_services(parts)
        broken.forget(read_clock())
        await asyncio.sleep(CHECK_INTERVAL_S)


async def _look(parts: Parts, name: str, broken_at: float) -> None:
    server = parts.board.servers.get(name)
    if server and read_clock() - broken_at < PROBE_WINDOW_S:
        await probe_server(parts, server)
    if _has_ended(parts, name):
        record_server_crash(parts.board, name, server.service if server else '')


def _has_ended(parts: Parts, name: str) -> bool:
    if parts.loads.absent.is_absent(name, read_clock()):
        return True
    server_id, _, _ = name.partition('/')
    starts = parts.board.server_starts
    return server_id in starts and starts[server_id].name != name
