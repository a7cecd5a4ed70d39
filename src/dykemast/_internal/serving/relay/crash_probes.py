"""Ask whether a backend server is still there."""

import asyncio
import contextlib
from typing import Final

from dykemast._internal.models.backend import BackendServer
from dykemast._internal.serving.choice.outcomes import note_absent
from dykemast._internal.serving.parts import Parts
from dykemast._internal.utils.events import make_logger

_log = make_logger('crashes')

#: Seconds to wait for a connection to a server that may have ended: links take
#: some milliseconds, and one that ended refuses at once.
PROBE_TIMEOUT: Final = 0.3


async def probe_server(parts: Parts, server: BackendServer) -> None:
    """Open a connection to a server; one that is refused shows that it ended.

    :param parts: parts of the program; takes note of a server that is absent.
    :param server: the server.
    """
    # Silence shows nothing: the link may be cut.
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(PROBE_TIMEOUT):
            await _connect(parts, server)


async def _connect(parts: Parts, server: BackendServer) -> None:
    host, port = server.endpoint
    try:
        _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        note_absent(parts, server)
    except OSError as error:
        _log('server_not_asked', server=server.name, reason=str(error))
    else:
        writer.close()
