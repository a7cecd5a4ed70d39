"""Planned stops of a router while callers continue to send requests."""

import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from http import client as http_client
from typing import Any, NamedTuple

from tests.lib.deployment import Deployment
from tests.lib.fixtures import wait_until
from tests.lib.users_caller import Reply, send, stream
from tests.lib.users_objects import make_route, make_stream_route
from tools.polling import HANG_GUARD, POLL

#: Time from SIGTERM to SIGKILL in the settings of these routers.
GRACE_S = 8
#: Time for which a router does not run while it is told to stop.
PAUSED_S = 2.0
#: A stream of 1.5 s with a deadline of 12 s.
EVENT_INTERVAL_S = 0.05
TOKENS = '100,30'
DEADLINE_MS = '12000'
ENGINES = ('engine-0', 'engine-1')
#: Requests may take far longer than a stop.
ROUTES = (
    make_route('/order/', timeoutMs=60_000),
    make_stream_route('/stream/', timeoutMs=60_000),
)
#: Statuses that a stopping router may return.
ALLOWED_STATUSES = frozenset((200, 503))
#: Statuses of a call that ran; 504 after its deadline, as on a busy machine.
STATUSES_OF_RUN_CALLS = frozenset((200, 504))


def start_slow_engines(prepaid: int = 200_000) -> Deployment:
    deployment = Deployment(routers=1).start(prepaid=prepaid, routes=ROUTES)
    for name in ENGINES:
        assert wait_until(partial(deployment.is_listening, name))
        deployment.control(name, pause=EVENT_INTERVAL_S)
    assert stream(deployment, tokens='100,2').status == 200
    return deployment


def request_short_streams(deployment: Deployment) -> None:
    """Request streams for as long as a stop takes.

    A router admits none in a stop by how long others took unless it has served
    their route for that long.
    """
    until = time.monotonic() + GRACE_S
    while time.monotonic() < until:
        assert stream(deployment, tokens='100,2').status == 200


def order_stop(deployment: Deployment) -> Any:
    """Send SIGTERM; a router that does not exit is killed later."""
    stopped = deployment.processes.running['node-0']
    stopped.send_signal(signal.SIGTERM)
    guard = threading.Timer(3 * GRACE_S, stopped.kill)
    guard.daemon = True
    guard.start()
    return stopped


def try_stream(deployment: Deployment) -> Reply | None:
    """Request a stream over a new connection; None without a response."""
    try:
        return stream(deployment, tokens=TOKENS, X_Deadline_Ms=DEADLINE_MS)
    except (OSError, http_client.HTTPException):
        return None


def ask_until_gone(deployment: Deployment) -> list[Reply | None]:
    """Stop the router; request a stream every 0.1 s until it exits."""
    stopped = order_stop(deployment)
    with ThreadPoolExecutor(100) as callers:
        asked = []
        while stopped.poll() is None:
            asked.append(callers.submit(try_stream, deployment))
            time.sleep(0.1)
    assert stopped.returncode == 0
    return [one.result() for one in asked]


def list_cut_runs(deployment: Deployment) -> list[str]:
    runs = [run for name in ENGINES for run in deployment.control(name)['runs']]
    return [run['id'] for run in runs if 'whole' not in run]


def test_a_stopping_router_takes_no_stream_that_it_would_cut_off() -> None:
    # Fails if a router admits streams after SIGTERM that it cannot complete
    # within its grace period, and truncates them: a stream admitted 3.13 s
    # after `stopping` with 11.99 s to its deadline has no event after `send`,
    # and `stopped` has `inflight` 1.
    deployment = start_slow_engines()
    request_short_streams(deployment)
    replies = ask_until_gone(deployment)
    statuses = {reply.status for reply in replies if reply}
    assert not list_cut_runs(deployment)
    assert all(reply.whole for reply in replies if reply)
    assert statuses == ALLOWED_STATUSES, (
        'served at first, then refused as not run'
    )
    deployment.stop()


def test_a_router_stopped_soon_after_its_start_cuts_no_stream() -> None:
    # The longest stream so far says little at a router that is seconds old.
    deployment = start_slow_engines()
    stopped = order_stop(deployment)
    assert wait_until(lambda: is_stopping(deployment))
    reply = stream(deployment, tokens='100,200', X_Deadline_Ms='30000')
    assert reply.status == 503
    assert b'stopping' in reply.body
    assert stopped.wait(HANG_GUARD) == 0
    assert not list_cut_runs(deployment)
    deployment.stop()


class Calls(NamedTuple):
    """Load of callers while a router stops.

    :param takes: seconds that a call takes at the server.
    :param deadline_ms: milliseconds until the deadline of a call.
    :param pause: seconds between two calls.
    """

    takes: float
    deadline_ms: str
    pause: float


def try_call(deployment: Deployment, deadline_ms: str) -> Reply | None:
    """Make a call that may run once; None without a response."""
    try:
        return send(deployment, '/order/1', X_Deadline_Ms=deadline_ms)
    except (OSError, http_client.HTTPException):
        return None


def call_until_gone(deployment: Deployment, calls: Calls) -> list[Reply]:
    """Stop the router; call it repeatedly until it exits."""
    deployment.control('plain-0', delay=calls.takes)
    stopped = order_stop(deployment)
    asked = []
    with ThreadPoolExecutor(60) as callers:
        while stopped.poll() is None:
            asked.append(
                callers.submit(try_call, deployment, calls.deadline_ms)
            )
            time.sleep(calls.pause)
    assert stopped.returncode == 0
    replies = [one.result() for one in asked]
    return [reply for reply in replies if reply]


def check_all_were_told(deployment: Deployment, replies: list[Reply]) -> None:
    told = {
        reply.request_id
        for reply in replies
        if reply.status in STATUSES_OF_RUN_CALLS
    }
    ran = {run['id'] for run in deployment.control('plain-0')['runs']}
    assert ran <= told, 'a call ran whose caller was not told so'
    assert {
        reply.status for reply in replies
    } <= ALLOWED_STATUSES | STATUSES_OF_RUN_CALLS


def test_nothing_is_taken_while_tokens_are_given_back() -> None:
    # Fails if a router without requests in progress still admits calls while
    # it returns unused tokens: one admitted 3.05 s after SIGTERM is cancelled
    # 0.17 s later, when the process exits.
    deployment = start_slow_engines()
    deployment.control('store', latency=0.7)
    calls = Calls(takes=0.3, deadline_ms='1500', pause=0.4)
    check_all_were_told(deployment, call_until_gone(deployment, calls))
    names = [event['event'] for event in deployment.read_events('node-0')]
    closed = names.index('admission_closed')
    assert 'admitted' in names[:closed]
    assert 'refused' in names[closed:], 'none came while tokens went back'
    assert 'admitted' not in names[closed:]
    deployment.stop()


def test_a_router_that_is_never_idle_finishes_what_it_took() -> None:
    # Calls overlap all the time, so that the router has to wait for those
    # admitted just before admission closes.
    deployment = start_slow_engines()
    calls = Calls(takes=1.5, deadline_ms='2000', pause=0.1)
    check_all_were_told(deployment, call_until_gone(deployment, calls))
    deployment.stop()


def list_spare(deployment: Deployment) -> list[int]:
    rows = deployment.list_rows('joinville')
    return [row.limit - row.spent for row in rows]


def test_tokens_go_back_though_the_store_is_away_for_a_while() -> None:
    # Fails if a failed write is not retried, with 4.8 s left before SIGKILL:
    # the router's spare tokens are then charged in full to the next process.
    deployment = start_slow_engines()
    assert sum(list_spare(deployment)) > 0
    deployment.control('store', away=True)
    stopped = order_stop(deployment)
    time.sleep(4)
    deployment.control('store', away=False)
    assert stopped.wait(HANG_GUARD) == 0
    assert sum(list_spare(deployment)) == 0
    deployment.stop()


def ask_long_stream(deployment: Deployment) -> Reply:
    """Request a stream of 25 s; a stop takes 8 s at most."""
    return stream(deployment, tokens='100,500', X_Deadline_Ms='30000')


def is_stopping(deployment: Deployment) -> bool:
    events = deployment.read_events('node-0')
    return any(event['event'] == 'stopping' for event in events)


def test_a_stream_that_outlasts_the_stop_is_cut_and_accounted_for() -> None:
    # Fails if a cancelled stream gets the listener's own 500 after tokens are
    # returned: its unused tokens are then charged to the next process. Also
    # fails if the typical duration counts completed streams only, so that
    # another long one is admitted after SIGTERM and cancelled.
    deployment = start_slow_engines()
    with ThreadPoolExecutor(1) as callers:
        asked = callers.submit(ask_long_stream, deployment)
        assert wait_until(lambda: len(list_cut_runs(deployment)) == 1)
        # The stream already runs longer than a stop, so that no other may be
        # admitted.
        time.sleep(8)
        stopped = order_stop(deployment)
        assert wait_until(lambda: is_stopping(deployment))
        assert ask_long_stream(deployment).status == 503
        reply = asked.result()
    assert reply.status == 200
    assert not reply.whole
    assert stopped.wait(HANG_GUARD) == 0
    assert sum(list_spare(deployment)) == 0
    deployment.stop()


def test_a_call_that_outlasts_the_stop_is_told_that_it_may_have_run() -> None:
    # Fails if the listener responds with its own 500 and nothing is logged.
    deployment = start_slow_engines()
    deployment.control('plain-0', delay=30)
    with ThreadPoolExecutor(1) as callers:
        asked = callers.submit(try_call, deployment, '25000')
        assert wait_until(lambda: deployment.control('plain-0')['runs'])
        stopped = order_stop(deployment)
        reply = asked.result()
    assert reply is not None
    assert reply.status == 502
    assert b'cut_by_stop' in reply.body
    assert stopped.wait(HANG_GUARD) == 0
    deployment.stop()


def test_a_silent_store_does_not_hold_up_a_stop() -> None:
    # Fails if the stop first waits for the removal of the router's entry: with
    # a silent store it then ends only 0.29 s before SIGKILL.
    deployment = start_slow_engines()
    deployment.control('store', silent=True)
    calls = Calls(takes=0.3, deadline_ms='1500', pause=0.4)
    check_all_were_told(deployment, call_until_gone(deployment, calls))
    events = deployment.read_events('node-0')
    at = {event['event']: event['at'] for event in events}
    assert at['stopped'] - at['stopping'] < GRACE_S
    deployment.stop()


def stop_paused(process: Any) -> int | None:
    """Stop a router while it is paused; return how it ended.

    :returns: its exit code; None when it is there at the end of its grace.
    """
    process.send_signal(signal.SIGSTOP)
    process.send_signal(signal.SIGTERM)
    killed_at = time.monotonic() + GRACE_S
    time.sleep(PAUSED_S)
    process.send_signal(signal.SIGCONT)
    while process.poll() is None and time.monotonic() < killed_at:
        time.sleep(POLL)
    return process.poll()


def test_a_router_that_is_paused_at_its_stop_ends_before_it_is_killed() -> None:
    # Fails if the time until SIGKILL counts from the resumption: the process is
    # then killed with a call in progress, whose caller gets no response.
    deployment = start_slow_engines()
    deployment.control('plain-0', delay=30)
    with ThreadPoolExecutor(1) as callers:
        asked = callers.submit(try_call, deployment, '25000')
        assert wait_until(lambda: deployment.control('plain-0')['runs'])
        assert stop_paused(deployment.processes.running['node-0']) == 0
        reply = asked.result()
    assert reply is not None
    assert b'cut_by_stop' in reply.body
    assert sum(list_spare(deployment)) == 0
    deployment.stop()
