"""Detection of server crashes after broken connections.

A connection breaks because of a malformed response, a network partition or a
server crash. Only the last one counts: the server refuses connections from this
router or another one, or its entry names another incarnation.
"""

import asyncio
import random
from typing import Final

from dykemast._internal.models.backend import BackendServer
from dykemast._internal.serving.choice.outcomes import record_absent
from dykemast._internal.serving.knowledge.backends import list_usable
from dykemast._internal.serving.parts import Parts
from dykemast._internal.serving.relay.crash_recording import record_server_crash
from dykemast._internal.serving.sending.server_paths import ServerState
from dykemast._internal.utils.clock import read_clock

#: Short enough to detect a crash before the caller repeats the request.
CHECK_INTERVAL_S: Final = 0.1
#: A server is probed for this long after a broken send. Later, its entry and
#: reports from peers show whether it crashed, without a connection.
PROBE_WINDOW_S: Final = 0.5
#: States of a server that is up.
_UP: Final = (ServerState.reached, ServerState.link_broken)


async def watch_breaks(parts: Parts) -> None:
    """Detect crashes of the servers of broken sends; runs forever.

    :param parts: shared components of the process.
    """
    broken = parts.board.broken
    while True:
        await broken.pending.wait()
        last = broken.list_last_breaks()
        checks = [_check_server(parts, name, at) for name, at in last.items()]
        await asyncio.gather(*checks)
        await _probe_services(parts)
        broken.prune(read_clock())
        await asyncio.sleep(CHECK_INTERVAL_S)


async def _check_server(parts: Parts, name: str, broken_at: float) -> None:
    server = parts.board.servers.get(name)
    if server and read_clock() - broken_at < PROBE_WINDOW_S:
        state = await _probe_server(parts, server)
        if state in _UP:
            parts.board.broken.up_at[name] = read_clock()
        if state is ServerState.reached:
            parts.board.links.suspects.add(name)
            parts.board.links.pending.set()
        if state is ServerState.link_broken:
            # The link broke these sends, not the server.
            parts.board.broken.take_sends(name)
    if _has_ended(parts, name):
        record_server_crash(parts.board, name, server.service if server else '')


def _has_ended(parts: Parts, name: str) -> bool:
    if parts.loads.absent.is_absent(name, read_clock()):
        return True
    server_id, _, _ = name.partition('/')
    starts = parts.board.server_starts
    return server_id in starts and starts[server_id].name != name


async def _probe_services(parts: Parts) -> None:
    """Probe the services that lost a server, to detect a loss of all servers.

    A crash that all servers of a service share is not attributed to any
    request. Servers without requests reveal their crash only when probed.

    :param parts: shared components of the process.
    """
    for service in tuple(parts.board.broken.ended_at):
        await _probe_others(parts, service)


async def _probe_others(parts: Parts, service: str) -> None:
    """Probe servers one by one until one answers."""
    board = parts.board
    servers = list_usable(board, service)
    random.shuffle(servers)
    for server in servers:
        crash = board.crashes.crashes.get(server.name)
        if crash and crash.sent_at:
            continue
        await _probe_server(parts, server)
        if not parts.loads.absent.is_absent(server.name, read_clock()):
            return
        record_server_crash(board, server.name, service)


async def _probe_server(parts: Parts, server: BackendServer) -> ServerState:
    """Check whether a server crashed: it refuses connections then.

    :param parts: shared components of the process; records an absent server.
    :param server: the server.
    :returns: its state.
    """
    state = await parts.paths.probe(server)
    if state is ServerState.absent:
        record_absent(parts, server)
    return state
