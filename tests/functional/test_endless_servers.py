"""A server whose bytes never end: callers are served by the others."""

import asyncio
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import contextmanager

from tests.lib import endless_server
from tests.lib.deployment import Deployment
from tests.lib.users_caller import stream

TRIES = 6
EVENTS = 20


@contextmanager
def run_endless(answer: endless_server.Answer) -> Iterator[int]:
    """Run an endless server in a thread; yields its port."""
    port: Future[int] = Future()
    ended = asyncio.Event()

    async def serve() -> None:
        async with endless_server.listen(answer) as server:
            port.set_result(server.port)
            await ended.wait()

    loop = asyncio.new_event_loop()
    with ThreadPoolExecutor(1) as pool:
        serving = pool.submit(loop.run_until_complete, serve())
        yield port.result()
        loop.call_soon_threadsafe(ended.set)
        serving.result()


def check_callers_are_served(answer: endless_server.Answer) -> None:
    with run_endless(answer) as port:
        deployment = Deployment(routers=1, engines=2)
        deployment.listed_ports['engine-0'] = port
        deployment.start(prepaid=1_000_000)
        # A repeated request whose sends break may crash its servers.
        replies = [
            stream(deployment, body=f'stream {number}')
            for number in range(TRIES)
        ]
        failed = [
            one
            for one in deployment.read_events('node-0')
            if one['event'] == 'send_failed'
        ]
        deployment.stop()
    assert [(one.status, one.body.count(b'\n\n')) for one in replies] == [
        (200, EVENTS) for _ in replies
    ]
    assert failed, 'the endless server got requests'


def test_streams_leave_a_server_whose_interim_responses_never_end() -> None:
    check_callers_are_served(endless_server.INTERIM_RESPONSES)
