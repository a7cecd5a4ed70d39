"""Server for thrift calls.

The server of thriftpy2 runs its own event loop, so only its transport is used.
"""

from typing import Any

from thriftpy2.contrib.aio.rpc import make_server


async def listen(service: Any, calls: Any, host: str, port: int) -> Any:
    """Serve calls of a thrift service.

    :param service: the thrift service.
    :param calls: object with a coroutine method for each call.
    :param host: IP number to listen on.
    :param port: port to listen on.
    :returns: the listening server, closed by its ``close`` method.
    """
    server = make_server(
        service,
        calls,
        host,
        port,
        # Pooled connections of peers may be idle for a long time.
        client_timeout=None,
    )
    server.trans.listen()
    return await server.trans.accept(server.handle)
