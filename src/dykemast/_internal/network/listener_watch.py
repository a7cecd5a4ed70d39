"""Notice when a listener has ended, though the process goes on."""

import asyncio
from typing import Final

from dykemast._internal.exceptions import ListenerEndedError
from dykemast._internal.network.listeners import Listener

#: Seconds between two looks. Three that fail make the router not ready; the
#: users' platform and callers ask each second.
CHECK_INTERVAL_S: Final = 0.5


async def watch_listeners(listeners: list[Listener]) -> None:
    """Look whether all listeners still serve, for ever.

    :param listeners: the listeners.
    :raises ListenerEndedError: when one has ended that nobody closed.
    """
    while True:
        for listener in listeners:
            if listener.serving.done() and not listener.should_exit:
                raise ListenerEndedError('callers cannot connect any more.')
        await asyncio.sleep(CHECK_INTERVAL_S)
