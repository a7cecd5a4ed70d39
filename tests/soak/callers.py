"""Callers of a soak run: kept connections, entry answers, retries."""

import math
import random
import threading
import time
import uuid
from typing import Any, NamedTuple

from tests.lib.deployment import Deployment
from tests.lib.users_objects import HOST, KEY
from tests.soak.entries import EntryBook
from tests.soak.exchange import Answer, Request, exchange
from tests.soak.kept import Kept
from tests.soak.seen import LEFT, UNREACHED, WHOLE, Seen

PROMPT = 'aa:120,bb:80'
PROMPT_TOKENS = 200
#: Tries of one request, and seconds between them if nothing else is told.
TRIES = 3
RETRY_PAUSE = 0.1
MAX_RETRY_AFTER = 1.0
#: Statuses that promise that a request has not run.
NOT_RUN = frozenset((429, 503))
FAILED = 500
#: Paths, and how often they are asked for.
PLAIN_PATHS = (
    ('/order/1', 5),
    ('/price/1', 5),
    ('/new/1', 3),
    ('/order/slow', 1),
    ('/price/slow', 1),
    ('/stream/', 7),
)
#: Events of streams, and how often they are asked for.
STREAM_EVENTS = ((12, 6), (80, 2), (250, 1))
STREAMS = 9
LONG_TIME = 3.9


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

    def __init__(self, deployment: Deployment, number: int) -> None:
        self.seen: list[Seen] = []
        self._chance = random.Random(number)
        self._manner = MANNERS[number % len(MANNERS)]
        self._kept = Kept(
            deployment,
            self._chance,
            EntryBook(deployment, self._chance, self._manner.keeps_for),
            sticks=self._manner.sticks,
        )

    def run(self, ending: threading.Event) -> None:
        while not ending.is_set():
            self._deliver(self._draw_request())
            time.sleep(self._chance.uniform(0, 0.03))
        self._kept.close()

    def _draw_request(self) -> Request:
        path = _draw(self._chance, PLAIN_PATHS)
        leaves = self._chance.random() < self._manner.leaving
        after = self._chance.uniform(0.02, 0.6) if leaves else 0
        if path != '/stream/':
            return Request(path, leaves_after=after)
        events = _draw(self._chance, STREAM_EVENTS)
        path += str(self._chance.randrange(STREAMS))
        return Request(path, events, LONG_TIME, after)

    def _deliver(self, request: Request) -> None:
        for number in range(TRIES):
            answer = self._try(request, fresh=number > 0)
            if not _may_retry(request, answer):
                return
            time.sleep(self._choose_pause(answer))

    def _choose_pause(self, answer: Answer) -> float:
        if self._manner.hasty and answer.end != UNREACHED:
            return 0
        return min(MAX_RETRY_AFTER, answer.retry_after) or RETRY_PAUSE

    def _try(self, request: Request, *, fresh: bool) -> Answer:
        router = self._kept.choose_router()
        if fresh:
            self._kept.drop(router)
        fields = _make_fields(request)
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
        )
        self.seen.append(seen)
        return answer


class Callers:
    """Threads of callers."""

    def __init__(self, deployment: Deployment, seed: int, count: int) -> None:
        self._ending = threading.Event()
        self._callers = [
            Caller(deployment, number) for number in range(seed, seed + count)
        ]
        self._threads = [
            threading.Thread(target=caller.run, args=(self._ending,))
            for caller in self._callers
        ]

    def start(self) -> None:
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self._ending.set()
        for thread in self._threads:
            thread.join()

    def list_seen(self) -> list[Seen]:
        return [one for caller in self._callers for one in caller.seen]


def _may_retry(request: Request, answer: Answer) -> bool:
    if answer.end == LEFT:
        return False
    if answer.end == UNREACHED or _is_refused(answer):
        return True
    failed = answer.end != WHOLE or answer.status >= FAILED
    return failed and request.path.startswith('/price/')


def _is_refused(answer: Answer) -> bool:
    return answer.end == WHOLE and answer.status in NOT_RUN


def _draw(chance: random.Random, choices: tuple[tuple[Any, int], ...]) -> Any:
    options, weights = zip(*choices, strict=True)
    return chance.choices(options, weights)[0]


def _make_fields(request: Request) -> dict[str, str]:
    fields = {
        'Host': HOST,
        'X-Attempt-Id': uuid.uuid4().hex,
        'X-Deadline-Ms': str(round(request.time_left * 1000)),
        'Authorization': f'Token {KEY}',
    }
    if request.events:
        fields['X-Token-Usage'] = f'{PROMPT_TOKENS},{request.events}'
        fields['X-Prefix-Hash'] = PROMPT
    return fields
