"""A request that crashes the servers that run it is quarantined.

Its caller retries at another router each time, and each send crashes one more
server, with all other requests there: 12 engines within 14 s, each less than
one second after the send. Fails if routers do not relate a request to the
crash of its server, or do not recognise its retries.
"""

import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from tests.lib.deployment import START_TIMEOUT_S, Deployment
from tests.lib.server_keeper import ServerKeeper
from tests.lib.users_caller import Reply, send, stream
from tests.lib.users_objects import make_route, make_stream_route
from tools.polling import poll_until

CRASH = 'crash the server'
#: Crashes that a request may cause before its quarantine, the time until all
#: routers have received that, and the sends allowed during this time.
MAX_CRASHES = 3
PROPAGATION_S = 3.0
MAX_LATE_SENDS = 3
#: Interval between requests, and the duration of the test before and after
#: the loss of all routers.
REQUEST_INTERVAL_S = 0.4
FIRST_PHASE_S = 11.0
SECOND_PHASE_S = 6.0
#: Seconds for which a crashed server is down.
DOWN_S = 2.0
ROUTES = (
    make_route('/ask/', type='safe', service='llm', attempts=2),
    make_stream_route('/stream/'),
)


class Innocent(NamedTuple):
    """A request other than the crashing one."""

    at: float
    reply: Reply


class Play:
    """Callers of one deployment, of which one sends the crashing request."""

    def __init__(
        self, path: str, engines: int = 4, down_time: float = DOWN_S
    ) -> None:
        self.deployment = Deployment(routers=3, engines=engines).start(
            routes=ROUTES
        )
        self.keeper = ServerKeeper(self.deployment, down_time)
        self.innocent: list[Innocent] = []
        self._path = path
        self._turn = 0

    def run(self, seconds: float) -> None:
        until = time.monotonic() + seconds
        with ThreadPoolExecutor() as pool:
            while time.monotonic() < until:
                names = self.deployment.names
                router = names[self._turn % len(names)]
                self._turn += 1
                pool.submit(self.ask, CRASH, router)
                pool.submit(self._ask_innocent, router)
                time.sleep(REQUEST_INTERVAL_S)

    def lose_all_routers(self) -> None:
        for name in self.deployment.names:
            self.deployment.processes.kill(name)
        for name in self.deployment.names:
            self.deployment.start_router(name)
        for name in self.deployment.names:
            self.deployment.wait_ready(name)

    def count_late_ends(self) -> int:
        ends = self.keeper.ends
        if len(ends) < MAX_CRASHES:
            return 0
        known_at = ends[MAX_CRASHES - 1] + PROPAGATION_S
        return sum(ended > known_at for ended in ends)

    def stop(self) -> None:
        self.keeper.stop()
        self.deployment.stop()

    def ask(self, body: str, router: str) -> Reply:
        ask = stream if self._path.startswith('/stream/') else send
        return ask(self.deployment, self._path, router=router, body=body)

    def _ask_innocent(self, router: str) -> None:
        at = time.monotonic()
        reply = self.ask(f'innocent {at}', router)
        self.innocent.append(Innocent(at, reply))


def list_failed(play: Play) -> list[int]:
    """List failures of innocent requests after the propagation time."""
    known_at = play.keeper.ends[MAX_CRASHES - 1] + PROPAGATION_S + DOWN_S
    return [
        one.reply.status
        for one in play.innocent
        if one.at > known_at and one.reply.status != 200
    ]


def check_play(path: str) -> None:
    play = Play(path)
    play.run(FIRST_PHASE_S)
    first_late = play.count_late_ends()
    failed = list_failed(play)
    play.lose_all_routers()
    play.run(SECOND_PHASE_S)
    late = play.count_late_ends()
    play.stop()
    assert len(play.keeper.ends) >= MAX_CRASHES, 'the request ends servers'
    assert first_late <= MAX_LATE_SENDS, (first_late, play.keeper.ends)
    assert not failed, f'innocent requests got {failed}'
    assert late <= MAX_LATE_SENDS, f'{late} after all routers were lost'


def test_a_call_that_ends_servers_is_known_to_all_routers() -> None:
    check_play('/ask/a')


def test_a_stream_that_ends_servers_is_known_to_all_routers() -> None:
    check_play('/stream/a')


def lose_all_servers(play: Play) -> None:
    for name in play.deployment.backend_ports:
        if name.startswith('engine'):
            play.deployment.processes.running[name].kill()
    time.sleep(DOWN_S + 1)


def ask_everywhere(play: Play, pool: ThreadPoolExecutor) -> None:
    for router in 4 * play.deployment.names:
        pool.submit(play.ask, 'hot', router)
    time.sleep(REQUEST_INTERVAL_S)


def ask_once(play: Play, pool: ThreadPoolExecutor) -> None:
    pool.submit(play.ask, 'hot', play.deployment.names[0])
    time.sleep(REQUEST_INTERVAL_S)


def wait_all_there(play: Play) -> None:
    """Wait until all servers listen; the store lists them earlier."""
    play.keeper.wait_all_up()
    names = tuple(play.deployment.backend_ports)
    assert poll_until(
        lambda: all(map(play.deployment.is_listening, names)), START_TIMEOUT_S
    )


def list_codes(play: Play) -> set[str | None]:
    return {
        event.get('code')
        for router in play.deployment.names
        for event in play.deployment.read_events(router)
    }


def check_losses(ask: Callable[[Play, ThreadPoolExecutor], None]) -> None:
    """Crash all servers repeatedly, each time while requests run there."""
    play = Play('/ask/hot/slow')
    for _ in range(4):
        with ThreadPoolExecutor() as pool:
            ask(play, pool)
            lose_all_servers(play)
    wait_all_there(play)
    replies = [play.ask('hot', router) for router in play.deployment.names]
    codes = list_codes(play)
    play.stop()
    assert {reply.status for reply in replies} == {200}
    assert 'quarantined' not in codes


def test_a_frequent_request_is_not_blamed_for_a_loss_of_all_servers() -> None:
    # All callers send the same request, so that each crashed server runs it.
    check_losses(ask_everywhere)


def test_the_only_request_is_not_blamed_for_a_loss_of_all_servers() -> None:
    # The other servers get no requests, so that no failed send shows their
    # crash.
    check_losses(ask_once)
