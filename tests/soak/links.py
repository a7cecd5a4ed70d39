"""Links between the processes of a run, each with a proxy."""

import asyncio
import threading
from typing import Any

from tests.soak.proxy import Proxy

#: Seconds that a proxy may take to start, or all of them to end.
PATIENCE = 60


class Links:
    """Proxies by name, in a loop and thread of their own."""

    def __init__(self) -> None:
        self._proxies: dict[str, Proxy] = {}
        self._loop = asyncio.new_event_loop()
        # Proxies that are ended with their connections open are no news.
        self._loop.set_exception_handler(_ignore)

    def start(self) -> None:
        threading.Thread(target=self._loop.run_forever, daemon=True).start()

    def open(self, name: str, port: int) -> int:
        """Open a proxy before a port; return its own."""
        proxy = Proxy(port)
        self._run(proxy.start())
        self._proxies[name] = proxy
        return proxy.port

    def switch(self, name: str, mode: str) -> None:
        switch = self._proxies[name].switch
        self._loop.call_soon_threadsafe(switch, mode)

    def stop(self) -> None:
        self._run(_end_tasks())
        self._loop.call_soon_threadsafe(self._loop.stop)

    def _run(self, work: Any) -> None:
        asyncio.run_coroutine_threadsafe(work, self._loop).result(PATIENCE)


def _ignore(*_: Any) -> None:
    """Take no note of an error."""


async def _end_tasks() -> None:
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
