"""Callers of a soak run: kept connections, entry answers, retries."""

import math
import random
import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor
from typing import NamedTuple

from tests.lib.deployment import Deployment
from tests.soak.entries import EntryBook
from tests.soak.exchange import Answer, Request, exchange
from tests.soak.kept import Kept
from tests.soak.requests import (
    USUAL_PAYER,
    Payer,
    draw_request,
    make_fields,
    take_up,
)
from tests.soak.seen import LEFT, UNREACHED, WHOLE, Seen

#: Tries of one request, and seconds between them if nothing else is told.
TRIES = 3
RETRY_PAUSE = 0.1
MAX_RETRY_AFTER = 1.0
#: Statuses that promise that a request has not run.
NOT_RUN = frozenset((429, 503))
FAILED = 500
OK = 200


class Manner(NamedTuple):
    """How a caller behaves.

    :param keeps_for: times its length of life for which it keeps an answer
        of the entry.
    :param sticks: whether it uses open connections to routers that the entry
        does not name any more.
    :param hasty: whether it retries at once.
    :param leaving: share of requests that it leaves midway.
    """

    keeps_for: float
    sticks: bool
    hasty: bool
    leaving: float


MANNERS = (
    Manner(1, sticks=False, hasty=False, leaving=0),
    Manner(1, sticks=True, hasty=False, leaving=0),
    Manner(3, sticks=True, hasty=True, leaving=0),
    Manner(math.inf, sticks=True, hasty=False, leaving=0),
    Manner(1, sticks=False, hasty=True, leaving=0.3),
)


class Caller:
    """Sends one request after the other, and keeps connections."""

    def __init__(
        self, deployment: Deployment, number: int, payer: Payer
    ) -> None:
        self.seen: list[Seen] = []
        self._chance = random.Random(number)
        self._manner = MANNERS[number % len(MANNERS)]
        self._kept = Kept(
            deployment,
            self._chance,
            EntryBook(deployment, self._chance, self._manner.keeps_for),
            sticks=self._manner.sticks,
            home=payer.home,
        )
        self._payer = payer

    def run(self, ending: threading.Event) -> None:
        while not ending.is_set():
            self._deliver(draw_request(self._chance, self._manner.leaving))
            time.sleep(self._chance.uniform(0, 0.03))
        self._kept.close()

    def _deliver(self, request: Request) -> None:
        for number in range(TRIES):
            answer = self._try(request, fresh=number > 0)
            if not _may_retry(request, answer):
                return
            request = take_up(request, answer, self.seen[-1].request_id)
            time.sleep(self._choose_pause(answer))

    def _choose_pause(self, answer: Answer) -> float:
        if self._manner.hasty and answer.end != UNREACHED:
            return 0
        return min(MAX_RETRY_AFTER, answer.retry_after) or RETRY_PAUSE

    def _try(self, request: Request, *, fresh: bool) -> Answer:
        router = self._kept.choose_router()
        if fresh:
            self._kept.drop(router)
        fields = make_fields(request, self._payer.key)
        at = time.monotonic()
        answer = Answer(UNREACHED)
        if router:
            answer = exchange(self._kept.open_to(router), request, fields)
        if answer.end == UNREACHED:
            self._kept.fail(router)
        elif answer.closing:
            self._kept.drop(router)
        seen = Seen(
            at,
            router,
            request.path,
            fields['X-Attempt-Id'],
            answer.status,
            answer.body,
            time.monotonic(),
            answer.end,
            request.time_left,
            request.events,
            request.after,
            request.resumes,
            self._payer.workspace,
        )
        self.seen.append(seen)
        return answer


class Callers:
    """Threads of callers."""

    def __init__(
        self,
        deployment: Deployment,
        seed: int,
        count: int,
        payers: tuple[Payer, ...] = (USUAL_PAYER,),
    ) -> None:
        self._ending = threading.Event()
        self._pool = ThreadPoolExecutor(count)
        self._running: list[Future[None]] = []
        self._callers = [
            Caller(deployment, number, payers[number % len(payers)])
            for number in range(seed, seed + count)
        ]

    def start(self) -> None:
        for caller in self._callers:
            self._running.append(self._pool.submit(caller.run, self._ending))

    def stop(self) -> None:
        """End; a caller that failed fails the run."""
        self._ending.set()
        for running in self._running:
            running.result()

    def list_seen(self) -> list[Seen]:
        return [one for caller in self._callers for one in caller.seen]


def _may_retry(request: Request, answer: Answer) -> bool:
    if answer.end == LEFT:
        return False
    if answer.end == UNREACHED or _is_refused(answer):
        return True
    failed = answer.end != WHOLE or answer.status >= FAILED
    return failed and _is_repeatable(request, answer)


def _is_repeatable(request: Request, answer: Answer) -> bool:
    if request.path.startswith('/price/'):
        return True
    return request.events > 0 and answer.status == OK


def _is_refused(answer: Answer) -> bool:
    return answer.end == WHOLE and answer.status in NOT_RUN
