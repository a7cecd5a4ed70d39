"""Callers of a soak run, and what they saw."""

import random
import threading
import time
from http import client as http_client
from typing import NamedTuple

from tests.lib.deployment import Deployment
from tests.lib.users_caller import send, stream

CALLERS = 6
TOKENS = '200,12'
EVENTS = 12


class Seen(NamedTuple):
    """What a caller saw of one request; status 0 for no answer."""

    at: float
    router: str
    path: str
    request_id: str
    status: int
    whole: bool
    body: bytes


class Callers:
    """Threads that send one request after the other."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.seen: list[Seen] = []
        self._deployment = deployment
        self._ending = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(random.Random(number),))
            for number in range(seed, seed + CALLERS)
        ]

    def start(self) -> None:
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self._ending.set()
        for thread in self._threads:
            thread.join()

    def _run(self, chance: random.Random) -> None:
        while not self._ending.is_set():
            router = chance.choice(self._deployment.names)
            path = chance.choice(('/order/1', '/price/1', '/new/1', '/stream/'))
            self._send(router, path, chance)
            time.sleep(chance.uniform(0, 0.03))

    def _send(self, router: str, path: str, chance: random.Random) -> None:
        at = time.monotonic()
        words = {'X_Deadline_Ms': '2500', 'router': router}
        try:
            if path == '/stream/':
                path = f'/stream/{chance.randrange(9)}'
                reply = stream(self._deployment, path, TOKENS, **words)
            else:
                reply = send(self._deployment, path, **words)
        except (OSError, http_client.HTTPException):
            return
        self.seen.append(
            Seen(
                at,
                router,
                path,
                reply.request_id,
                reply.status,
                reply.whole,
                reply.body,
            )
        )
