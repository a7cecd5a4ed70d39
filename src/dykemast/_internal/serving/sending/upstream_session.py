"""Pool of connections to backend servers."""

from collections.abc import Callable
from contextvars import ContextVar
from typing import Any, Final

import aiohttp
import yarl

from dykemast._internal.models.deployment import Endpoint
from dykemast._internal.network.sockets import make_socket

#: Connecting takes a few milliseconds, and the system retransmits a lost packet
#: only after a second.
CONNECT_TIMEOUT_S: Final = 0.5
#: Shorter than the idle timeout of servers, which would close first otherwise.
KEEP_ALIVE_S: Final = 4.0
#: Header fields that the library adds by default.
_LIBRARY_FIELDS: Final = (
    'User-Agent',
    'Accept',
    'Accept-Encoding',
    'Content-Type',
)
Check = Callable[[], None]
#: Raises if the request of the current task must not be sent any more.
pre_send_check: Final[ContextVar[Check]] = ContextVar('before_bytes')
#: Whether the request of the current task opened its connection.
is_new_connection: Final[ContextVar[bool]] = ContextVar(
    'is_new_connection', default=False
)


class _CheckedRequest(aiohttp.ClientRequest):
    """A request that is checked once its connection is open."""

    async def send(self, conn: Any) -> aiohttp.ClientResponse:
        """Check the request, then write it."""
        pre_send_check.get()()
        return await super().send(conn)


class _Connector(aiohttp.TCPConnector):
    """Pool of connections that tells which requests open one."""

    async def _create_connection(self, *options: Any) -> Any:
        is_new_connection.set(True)
        return await super()._create_connection(*options)


def open_session() -> aiohttp.ClientSession:
    """Open a connection pool that adds nothing to requests.

    :returns: the pool.
    """
    session = aiohttp.ClientSession(
        connector=_Connector(
            limit=0,
            keepalive_timeout=KEEP_ALIVE_S,
            socket_factory=make_socket,
        ),
        request_class=_CheckedRequest,
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        ),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=_LIBRARY_FIELDS,
    )
    # The library retries a GET when its connection breaks; only the router
    # decides whether a request may run twice.
    session._retry_connection = False
    return session


def make_url(endpoint: Endpoint, target: str) -> yarl.URL:
    """Build the URL of a request.

    :param endpoint: address of the backend server.
    :param target: path and query.
    :returns: the URL.
    """
    # The target is forwarded exactly as the caller sent it.
    return yarl.URL(f'http://{endpoint}{target}', encoded=True)
