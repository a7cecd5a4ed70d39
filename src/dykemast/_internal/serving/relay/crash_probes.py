"""Probes of backend servers.

A crash that all servers of a service share is not attributed to any request.
Servers without requests reveal their crash only when probed.
"""

import random

from dykemast._internal.models.backend import BackendServer
from dykemast._internal.serving.choice.outcomes import record_absent
from dykemast._internal.serving.knowledge.backends import list_usable
from dykemast._internal.serving.parts import Parts
from dykemast._internal.serving.relay.crash_recording import record_server_crash
from dykemast._internal.serving.sending.server_paths import ServerState
from dykemast._internal.utils.clock import read_clock


async def probe_services(parts: Parts) -> None:
    """Probe the services that lost a server, to detect a loss of all servers.

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
        await probe_server(parts, server)
        if not parts.loads.absent.is_absent(server.name, read_clock()):
            return
        record_server_crash(board, server.name, service)


async def probe_server(parts: Parts, server: BackendServer) -> ServerState:
    """Check whether a server crashed: it refuses connections then.

    :param parts: shared components of the process; records an absent server.
    :param server: the server.
    :returns: its state.
    """
    state = await parts.paths.probe(server)
    if state is ServerState.absent:
        record_absent(parts, server)
    return state
