"""A server that is silent for a second and goes on counts as sound."""

import os
import signal
import time
from http import client as http_client

from tests.lib.crowd import ask_stream, start_with_large_budget
from tests.lib.deployment import Deployment
from tests.lib.users_caller import begin_stream

SILENCE_S = 1.3
EVENT_S = 0.05
EVENTS = 20
ENGINES = ('engine-0', 'engine-1')


def signal_engines(deployment: Deployment, number: signal.Signals) -> None:
    for engine in ENGINES:
        os.kill(deployment.processes.running[engine].pid, number)


def silence_engines(deployment: Deployment) -> None:
    signal_engines(deployment, signal.SIGSTOP)
    time.sleep(SILENCE_S)
    signal_engines(deployment, signal.SIGCONT)


def count_runs(deployment: Deployment, request_id: str) -> int:
    runs = [
        run['id']
        for engine in ENGINES
        for run in deployment.control(engine)['runs']
    ]
    return runs.count(request_id)


def count_events(connection: http_client.HTTPConnection) -> int:
    events = connection.getresponse().read().count(b'\n\n')
    connection.close()
    return events


def check_servers_count_as_sound(deployment: Deployment) -> None:
    for router in deployment.names:
        assert ask_stream(deployment, router).status == 200
        events = {one['event'] for one in deployment.read_events(router)}
        assert not events & {'server_absent', 'server_ended', 'links_lost'}


def test_a_stream_of_a_silent_server_goes_on_and_runs_once() -> None:
    deployment = start_with_large_budget(2, len(ENGINES))
    for engine in ENGINES:
        deployment.control(engine, pause=EVENT_S)
    connection, request_id = begin_stream(deployment, path='/stream/once/a')
    time.sleep(EVENT_S)
    silence_engines(deployment)
    assert count_events(connection) == EVENTS
    assert count_runs(deployment, request_id) == 1
    check_servers_count_as_sound(deployment)
    deployment.stop()
