"""Server for thrift calls.

The library's server wants to own the loop; only its transport is used.
"""

from typing import Any

from thriftpy2.contrib.aio.rpc import make_server


async def listen(service: Any, calls: Any, host: str, port: int) -> Any:
    """Serve calls of an interface definition.

    :param service: the interface.
    :param calls: has a coroutine method for each call.
    :param host: IP number to listen on.
    :param port: port to listen on.
    :returns: the listening server, to be closed by its ``close``.
    """
    server = make_server(
        service,
        calls,
        host,
        port,
        # Pooled connections of peers may be idle for long.
        client_timeout=None,
    )
    server.trans.listen()
    return await server.trans.accept(server.handle)
