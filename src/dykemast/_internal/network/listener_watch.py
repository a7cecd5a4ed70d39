"""Detection of listeners that have ended while the process still runs."""

import asyncio
from typing import Final

from dykemast._internal.exceptions import ListenerEndedError
from dykemast._internal.network.listeners import Listener

#: Three failed checks make the router not ready; the platform and callers check
#: readiness every second.
CHECK_INTERVAL_S: Final = 0.5


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
