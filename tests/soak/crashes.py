"""A request that ends the servers that run it, asked again and again."""

import threading
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from http import client as http_client

from tests.lib.deployment import Deployment
from tests.lib.server_keeper import ServerKeeper
from tests.lib.users_caller import send
from tests.soak.history import History
from tests.soak.seen import Witness

#: Kind of the event that a server ended under the request.
ENDED = 'ended'
BODY = 'crash'
PATH = '/price/1'
#: Seconds between two asks.
ASK_PAUSE = 0.4
#: Seconds for which a server is gone. Behind a proxy it refuses nothing, so
#: that its end shows only when it is listed under its next start, and routers
#: hear of that within 0.5 s.
DOWN_TIME = 1.0
HEAR_TIME = 0.5
#: Servers that a request may end before all routers have to know, seconds that
#: they have for it, and sends that may still slip by.
FREE_ENDS = 3
LEARN_TIME = 3.0
LATE_SENDS = 3


class Crashes:
    """Servers that end, and are started again.

    :param deployment: whose servers.
    :param history: takes note of them.
    :param later: runs something after some seconds.
    """

    def __init__(
        self,
        deployment: Deployment,
        history: History,
        later: Callable[..., None],
    ) -> None:
        self._deployment = deployment
        self._history = history
        self._later = later
        self._keeper: ServerKeeper | None = None

    def ask(self, seconds: float) -> None:
        """Have a request asked that ends the servers that run it."""
        self._keeper = self._keeper or ServerKeeper(
            self._deployment, DOWN_TIME, self._note_end
        )
        self._later(0, ask_again_and_again, self._deployment, seconds)

    def wait_all_up(self) -> None:
        if self._keeper:
            self._keeper.wait_all_up()

    def stop(self) -> None:
        if self._keeper:
            self._keeper.stop()

    def _note_end(self, server: str) -> None:
        self._history.begin(ENDED, server)()
        # What else ran there is cut off, and callers find it gone.
        end = self._history.begin('server', server)
        self._later(DOWN_TIME, end)


def ask_again_and_again(deployment: Deployment, seconds: float) -> None:
    """Ask at each router in turn; what becomes of it is seen at servers."""
    until = time.monotonic() + seconds
    threads = []
    while time.monotonic() < until:
        for router in deployment.names:
            thread = threading.Thread(target=_ask, args=(deployment, router))
            thread.start()
            threads.append(thread)
            time.sleep(ASK_PAUSE)
    for asking in threads:
        asking.join()


def _ask(deployment: Deployment, router: str) -> None:
    with suppress(OSError, http_client.HTTPException):
        send(deployment, PATH, router, BODY)


def find_crash_storms(witness: Witness) -> Iterator[str]:
    """Find a request that ended servers long after all could know it."""
    ends = [event.at for event in witness.events if event.kind == ENDED]
    if len(ends) < FREE_ENDS:
        return
    known_at = ends[FREE_ENDS - 1] + LEARN_TIME + DOWN_TIME + HEAR_TIME
    late = sum(ended > known_at for ended in ends)
    if late > LATE_SENDS:
        yield f'{late} servers ended long after the third, {len(ends)} in all'
