"""HTTP listeners of a router."""

import asyncio
import contextlib
import socket
from typing import Any, Final

import uvicorn

from dykemast._internal.exceptions import ListenerEndedError

#: Idle time after which the connection of a caller is closed.
KEEP_ALIVE_S: Final = 30
OPEN_TIMEOUT_S: Final = 10.0
#: Three failed checks make the router not ready; the platform and callers check
#: readiness every second.
CHECK_INTERVAL_S: Final = 0.5
_POLL_INTERVAL_S: Final = 0.01


class Listener(uvicorn.Server):
    """HTTP server that does not handle signals; the router does."""

    #: Completes after the listener has closed its connections.
    serving: asyncio.Task[None]

    @contextlib.contextmanager
    def capture_signals(self) -> Any:
        """Install no signal handlers."""
        yield


async def open_listener(app: Any, host: str, port: int) -> Listener:
    """Listen for HTTP requests.

    :param app: ASGI application to serve.
    :param host: IP number to listen on.
    :param port: port to listen on.
    :returns: the listener.
    :raises OSError: when the address is in use.
    """
    config = _configure(app, host=host, port=port)
    return await _open(config, None, f'{host}:{port}')


async def open_on_sockets(
    app: Any,
    sockets: list[socket.socket],
) -> Listener:
    """Listen for HTTP requests on bound sockets.

    :param app: ASGI application to serve.
    :param sockets: listening sockets.
    :returns: the listener.
    :raises OSError: when the listener cannot be opened.
    """
    return await _open(_configure(app), sockets, 'the sockets')


async def close_listeners(listeners: list[Listener], timeout_s: float) -> None:
    """Finish pending responses and close all connections.

    :param listeners: the listeners.
    :param timeout_s: seconds to wait until the listeners have ended.
    """
    for listener in listeners:
        listener.should_exit = True
    ends = [one.serving for one in listeners]
    await asyncio.wait(ends, timeout=timeout_s)


async def watch_listeners(listeners: list[Listener]) -> None:
    """Check periodically that all listeners still serve.

    :param listeners: the listeners.
    :raises ListenerEndedError: when a listener has ended without being closed.
    """
    while True:
        for listener in listeners:
            if listener.serving.done() and not listener.should_exit:
                raise ListenerEndedError(
                    'a listener has ended; callers cannot connect.'
                )
        await asyncio.sleep(CHECK_INTERVAL_S)


def _configure(app: Any, **address: Any) -> uvicorn.Config:
    return uvicorn.Config(
        app,
        **address,
        # uvloop would use io_uring, which users do not allow.
        loop='asyncio',
        # A parser in Python would take a fifth of the processing time of a
        # stream; this one is written in C.
        http='httptools',
        ws='none',
        lifespan='off',
        access_log=False,
        log_level='critical',
        timeout_keep_alive=KEEP_ALIVE_S,
        server_header=False,
        date_header=False,
        proxy_headers=False,
    )


async def _open(
    config: uvicorn.Config,
    sockets: list[socket.socket] | None,
    where: str,
) -> Listener:
    listener = Listener(config)
    listener.serving = asyncio.create_task(listener.serve(sockets))
    async with asyncio.timeout(OPEN_TIMEOUT_S):
        while not listener.started:
            if listener.serving.done():
                raise OSError(f'{where} could not be opened.')
            await asyncio.sleep(_POLL_INTERVAL_S)
    return listener
