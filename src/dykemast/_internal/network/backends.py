"""Sessions with backend servers (docs/backend-servers.md)."""

import asyncio
from typing import Any, Final

import aiohttp
import msgspec

from dykemast._internal.exceptions import UpstreamError
from dykemast._internal.models.fleet import Instance, LoadReport
from dykemast._internal.models.requests import RequestContext, BackendRequest
from dykemast._internal.utils.clock import read_clock

CONNECT_TIMEOUT_S: Final = 1.0
#: Time without received bytes after which a response fails.
STALL_TIMEOUT_S: Final = 30.0
LOAD_TIMEOUT_S: Final = 1.0
#: Limit for connections to all backend servers together.
MAX_CONNECTIONS: Final = 4096
#: Statuses of a server that did not start the request.
_NOT_STARTED: Final = frozenset((429, 503))
_SERVER_ERROR: Final = 500
_LOAD_FAILURES: Final = (
    aiohttp.ClientError,
    msgspec.MsgspecError,
    TimeoutError,
    OSError,
)


class Backends:
    """Connection pools for backend servers.

    Requests that must not be repeated use a new connection: on a pooled one
    that the server has closed, the library retries some methods by itself.
    """

    def __init__(self) -> None:
        """Initialize the pools without opening connections."""
        self._pooled: aiohttp.ClientSession | None = None
        self._single: aiohttp.ClientSession | None = None

    async def send(
        self,
        instance: Instance,
        backend_request: BackendRequest,
        context: RequestContext,
    ) -> aiohttp.ClientResponse:
        """Send a request and wait for the head of the response.

        :param instance: the backend server.
        :param backend_request: the request to send.
        :param context: context of the caller's request.
        :returns: the response; its body has not been read.
        :raises UpstreamError: when there is no response, the server fails, or
            the response belongs to another request.
        """
        session = self._choose_session(repeatable=context.repeatable)
        try:
            response = await _request(
                session, instance, backend_request, context
            )
        except aiohttp.ClientConnectorError as error:
            raise UpstreamError(str(error), sent=False) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            text = f'{instance.name}: {type(error).__name__} {error}'
            raise UpstreamError(text, sent=True) from error
        return _check_head(response, context)

    async def read_load(self, instance: Instance) -> LoadReport:
        """Read a worker's load report.

        :param instance: the worker.
        :returns: the load report.
        :raises UpstreamError: when there is no valid report.
        """
        url = f'http://{instance.host}:{instance.port}/load'
        timeout = aiohttp.ClientTimeout(total=LOAD_TIMEOUT_S)
        call = self._choose_session(repeatable=True).get(url, timeout=timeout)
        try:
            fields = await _read_fields(call)
        except _LOAD_FAILURES as error:
            raise UpstreamError(str(error), sent=True) from error
        return LoadReport(
            running=int(fields.get('running', 0)),
            waiting=int(fields.get('waiting', 0)),
            models=tuple(fields.get('models', ())),
            at=read_clock(),
        )

    async def close(self) -> None:
        """Close all connections."""
        for session in (self._pooled, self._single):
            if session:
                await session.close()

    def _choose_session(self, *, repeatable: bool) -> aiohttp.ClientSession:
        if self._pooled is None or self._single is None:
            self._pooled = _open_session(force_close=False)
            self._single = _open_session(force_close=True)
        return self._pooled if repeatable else self._single


async def _request(
    session: aiohttp.ClientSession,
    instance: Instance,
    backend_request: BackendRequest,
    context: RequestContext,
) -> aiohttp.ClientResponse:
    async with asyncio.timeout_at(context.deadline):
        return await session.request(
            backend_request.method,
            f'http://{instance.host}:{instance.port}{backend_request.path}',
            data=backend_request.body or None,
            headers=_make_headers(backend_request, context),
            allow_redirects=False,
        )


async def _read_fields(call: Any) -> dict[str, Any]:
    async with call as response:
        body = await response.read()
    return msgspec.json.decode(body, type=dict[str, Any])


def _make_headers(
    backend_request: BackendRequest, context: RequestContext
) -> dict[str, str]:
    return {
        **backend_request.headers,
        'x-request-id': context.request,
        'idempotency-key': context.key,
        'x-priority': str(backend_request.priority),
    }


def _open_session(*, force_close: bool) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=MAX_CONNECTIONS, force_close=force_close
        ),
        timeout=aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=STALL_TIMEOUT_S,
        ),
        auto_decompress=False,
    )


def _check_head(
    response: aiohttp.ClientResponse,
    context: RequestContext,
) -> aiohttp.ClientResponse:
    echoed = response.headers.get('x-request-id', context.request)
    if echoed != context.request:
        response.close()
        text = f'answer to {echoed} instead of {context.request}.'
        raise UpstreamError(text, sent=True)
    if response.status >= _SERVER_ERROR or response.status in _NOT_STARTED:
        response.close()
        text = f'backend server answered {response.status}.'
        raise UpstreamError(text, sent=response.status not in _NOT_STARTED)
    return response
