"""Ask whether backend servers are still there.

An end that all servers of a service share is nobody's fault, and those to which
nothing was sent tell of theirs only when they are asked.
"""

import asyncio
import contextlib
import random
from typing import Final

from dykemast._internal.models.backend import BackendServer
from dykemast._internal.serving.choice.outcomes import record_absent
from dykemast._internal.serving.knowledge.backends import list_usable
from dykemast._internal.serving.parts import Parts
from dykemast._internal.serving.relay.crash_recording import record_server_crash
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('crashes')

#: Seconds to wait for a connection to a server that may have ended: links take
#: some milliseconds, and one that ended refuses at once.
PROBE_TIMEOUT_S: Final = 0.3


async def probe_services(parts: Parts) -> None:
    """Find out whether all servers ended of the services that lost one.

    :param parts: parts of the program.
    """
    for service in tuple(parts.board.broken.ended_at):
        await _ask_others(parts, service)


async def _ask_others(parts: Parts, service: str) -> None:
    """Ask one server after the other until one is there."""
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


async def probe_server(parts: Parts, server: BackendServer) -> None:
    """Open a connection to a server; one that is refused shows that it ended.

    :param parts: parts of the program; takes note of a server that is absent.
    :param server: the server.
    """
    # Silence shows nothing: the link may be cut.
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            await _connect(parts, server)


async def _connect(parts: Parts, server: BackendServer) -> None:
    host, port = server.endpoint
    try:
        _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        record_absent(parts, server)
    except OSError as error:
        _log('server_not_asked', server=server.name, reason=str(error))
    else:
        writer.close()
