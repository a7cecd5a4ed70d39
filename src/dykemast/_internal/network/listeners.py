"""HTTP listeners of a router."""

import asyncio
import contextlib
import socket
from typing import Any, Final

import uvicorn

#: Seconds after which an idle connection of a caller is closed.
KEEP_ALIVE_S: Final = 30
#: Seconds that are waited for a listener to open.
OPEN_TIMEOUT_S: Final = 10.0
_POLL_INTERVAL_S: Final = 0.01


class Listener(uvicorn.Server):
    """Server that leaves signals to the router."""

    #: Ends after the listener has closed its connections.
    serving: asyncio.Task[None]

    @contextlib.contextmanager
    def capture_signals(self) -> Any:
        """Capture none."""
        yield


async def open_listener(app: Any, host: str, port: int) -> Listener:
    """Listen for HTTP requests.

    :param app: what to serve.
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
    """Listen for HTTP requests on sockets that are bound already.

    :param app: what to serve.
    :param sockets: listening sockets.
    :returns: the listener.
    :raises OSError: when it could not be opened.
    """
    return await _open(_configure(app), sockets, 'the sockets')


async def close_listeners(listeners: list[Listener], patience: float) -> None:
    """Send what was answered, and close idle connections.

    :param listeners: the listeners.
    :param patience: seconds to wait for that.
    """
    for listener in listeners:
        listener.should_exit = True
    ends = [one.serving for one in listeners]
    await asyncio.wait(ends, timeout=patience)


def _configure(app: Any, **address: Any) -> uvicorn.Config:
    return uvicorn.Config(
        app,
        **address,
        # uvloop would use io_uring, which the users do not allow.
        loop='asyncio',
        # Written in C: a parser in Python takes a fifth of a stream's time.
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
