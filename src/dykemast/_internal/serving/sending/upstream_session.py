"""Pool of connections to backend servers."""

from collections.abc import Callable
from contextvars import ContextVar
from typing import Any, Final

import aiohttp
import yarl

from dykemast._internal.models.deployment import Endpoint
from dykemast._internal.network.sockets import make_socket

#: Seconds to wait for a connection: links take some milliseconds, and one
#: that is lost is only tried again by the system after a second.
CONNECT_TIMEOUT: Final = 0.5
#: Seconds that an idle connection is kept; servers close theirs later.
KEEP_ALIVE: Final = 4.0
#: Fields that the library would add by itself.
_LIBRARY_FIELDS: Final = (
    'User-Agent',
    'Accept',
    'Accept-Encoding',
    'Content-Type',
)
Check = Callable[[], None]
#: Raises when the request of this task must not go out after all.
before_bytes: Final[ContextVar[Check]] = ContextVar('before_bytes')


class _CheckedRequest(aiohttp.ClientRequest):
    """A request that is checked when it has its connection."""

    async def send(self, conn: Any) -> aiohttp.ClientResponse:
        """Check the request, then write it."""
        before_bytes.get()()
        return await super().send(conn)


def open_session() -> aiohttp.ClientSession:
    """Make a pool that passes on what it is given, and nothing else.

    :returns: the pool.
    """
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0,
            keepalive_timeout=KEEP_ALIVE,
            socket_factory=make_socket,
        ),
        request_class=_CheckedRequest,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=_LIBRARY_FIELDS,
    )
    # The library would repeat a GET by itself on a connection that broke;
    # whether a request may run twice is for this router to say.
    session._retry_connection = False
    return session


def make_url(endpoint: Endpoint, target: str) -> yarl.URL:
    """Make the URL of a request.

    :param endpoint: the backend server.
    :param target: path and query.
    :returns: the URL.
    """
    # The path goes on as the caller sent it.
    return yarl.URL(f'http://{endpoint}{target}', encoded=True)
