"""A request that crashes the only server of its service, beside slow requests.

A slow request is in progress at each crash too, and never completes since the
server runs for less time than it needs. Fails if it is quarantined like the
crashing request.
"""

import itertools
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from tests.functional.test_crashing_requests import (
    REQUEST_INTERVAL_S,
    CRASH,
    MAX_CRASHES,
    MAX_LATE_SENDS,
    Play,
)

PATH = '/ask/hot/slow'
SLOW = ('slow a', 'slow b')
#: Duration of the test phase, and time until slow requests must be served.
PHASE_S = 20.0
SERVED_WITHIN_S = 5.0
#: Time until the server restarts.
DOWN_S = 1.0
#: Time from a response to the next request of its caller.
RETRY_DELAY_S = 0.02
OK = 200


def ask_all_the_time(
    play: Play,
    body: str,
    router: str,
    ending: threading.Event,
) -> None:
    """Send a new request after each response."""
    while not ending.is_set():
        play.ask(body, router)
        time.sleep(RETRY_DELAY_S)


def run_play(play: Play) -> None:
    """Send the crashing request to each router in turn, beside slow ones."""
    ending = threading.Event()
    ends_at = time.monotonic() + PHASE_S
    with ThreadPoolExecutor() as pool:
        for body, router in itertools.product(SLOW, play.deployment.names):
            pool.submit(ask_all_the_time, play, body, router, ending)
        for router in itertools.cycle(play.deployment.names):
            pool.submit(play.ask, CRASH, router)
            time.sleep(REQUEST_INTERVAL_S)
            if time.monotonic() > ends_at:
                break
        ending.set()


def list_unserved(play: Play) -> set[str]:
    """List the slow requests that are refused after they must be served."""
    until = time.monotonic() + SERVED_WITHIN_S
    unserved = set(SLOW)
    while unserved and time.monotonic() < until:
        for body in tuple(unserved):
            if play.ask(body, play.deployment.names[0]).status == OK:
                unserved.discard(body)
    return unserved


def test_slow_requests_beside_it_do_not_hide_the_crashing_request() -> None:
    play = Play(PATH, engines=1, down_time=DOWN_S)
    run_play(play)
    late = play.count_late_ends()
    unserved = list_unserved(play)
    play.stop()
    assert len(play.keeper.ends) >= MAX_CRASHES, 'the request ends servers'
    assert late <= MAX_LATE_SENDS, (late, play.keeper.ends)
    assert not unserved, f'still refused: {unserved}'
