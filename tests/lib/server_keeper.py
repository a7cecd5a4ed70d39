"""Restart crashed backend servers, as the users' platform does."""

import threading
import time
from collections.abc import Callable

from tests.lib.deployment import Deployment
from tests.lib.users_objects import make_next_start

#: Interval of checks for crashed servers.
CHECK_INTERVAL_S = 0.02


class ServerKeeper:
    """Restarts crashed servers of a deployment until ``stop``.

    :param deployment: deployment whose servers may crash.
    :param down_time: seconds until a server restarts as a new incarnation.
    :param tell_end: called with the name of a crashed server.
    """

    def __init__(
        self,
        deployment: Deployment,
        down_time: float,
        tell_end: Callable[[str], object] = str,
    ) -> None:
        self._deployment = deployment
        self._down_time = down_time
        self._tell_end = tell_end
        self._stopping = threading.Event()
        self._back_at: dict[str, float] = {}
        #: Times of crashes, in order.
        self.ends: list[float] = []
        self._thread = threading.Thread(target=self._watch)
        self._thread.start()

    def wait_all_up(self) -> None:
        """Wait until no server is down."""
        while self._back_at:
            time.sleep(CHECK_INTERVAL_S)

    def stop(self) -> None:
        self._stopping.set()
        self._thread.join()

    def _watch(self) -> None:
        names = set(self._deployment.backend_ports) - {'store'}
        while not self._stopping.wait(CHECK_INTERVAL_S):
            for name in names:
                self._check_server(name, time.monotonic())

    def _check_server(self, name: str, now: float) -> None:
        process = self._deployment.processes.running[name]
        back_at = self._back_at.get(name)
        if back_at is None and process.poll() is not None:
            self.ends.append(now)
            self._tell_end(name)
            self._back_at[name] = now + self._down_time
        elif back_at is not None and now >= back_at:
            self._start_again(name)

    def _start_again(self, name: str) -> None:
        self._back_at.pop(name)
        self._deployment.start_server(name)
        stored = self._deployment.read_object('servers', name)
        started = make_next_start(name, stored)
        self._deployment.control('store', put=[started])
