"""Faults of the store and of routers."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor

from tests.lib.deployment import Deployment
from tests.lib.fixtures import wait_until
from tests.lib.users_caller import send, stream
from tests.lib.users_objects import make_configuration, make_route, make_server


def count_streamed(deployment: Deployment) -> int:
    """Count the prompt and output tokens of engines, as the users do."""
    total = 0
    for name in ('engine-0', 'engine-1'):
        for run in deployment.control(name)['runs']:
            prompt, _, output = run['headers']['x-token-usage'].partition(',')
            total += int(prompt) + int(output)
    return total


def stream_until_refused(deployment: Deployment, router: str) -> int:
    """Request streams of 1,100 tokens each; return the number served."""
    served = 0
    for _ in range(40):
        reply = stream(deployment, tokens='1000,20', router=router)
        served += reply.status == 200
        if reply.status in {402, 429, 503}:
            return served
    return served


def test_no_overspend_while_the_store_is_away_and_processes_are_killed() -> (
    None
):
    deployment = Deployment().start(prepaid=20_000)
    stream(deployment, tokens='1000,20')
    deployment.control('store', away=True)
    served = stream_until_refused(deployment, 'node-0')
    assert served >= 1, 'spare tokens serve requests while the store is away'
    deployment.processes.kill('node-0')
    deployment.control('store', away=False)
    deployment.start_router('node-0')
    deployment.wait_ready('node-0')
    for router in deployment.names:
        stream_until_refused(deployment, router)
    assert count_streamed(deployment) <= 20_000
    assert deployment.count_granted('joinville') <= 20_000
    deployment.stop()


def test_lost_answers_of_the_store_cost_no_token_and_create_none() -> None:
    deployment = Deployment(routers=1).start(prepaid=12_000)
    deployment.control('store', lose=2, late=0.5)
    stream(deployment, tokens='1000,20')
    assert wait_until(
        lambda: stream(deployment, tokens='1000,20').status == 200
    )
    stream_until_refused(deployment, 'node-0')
    assert count_streamed(deployment) <= 12_000
    deployment.stop()


def measure_spare(deployment: Deployment, router: str) -> int:
    """Return the tokens charged to a router beyond its consumption."""
    return sum(
        row.limit - row.spent
        for row in deployment.list_rows('joinville')
        if row.instance == router
    )


def test_a_stopped_router_finishes_and_gives_its_tokens_back() -> None:
    deployment = Deployment().start(prepaid=50_000)
    deployment.control('engine-0', pause=0.05)
    deployment.control('engine-1', pause=0.05)
    stopped = deployment.processes.running['node-0']
    with ThreadPoolExecutor() as sender:
        sent = sender.submit(stream, deployment, tokens='100,40')
        time.sleep(0.5)
        stopped.send_signal(signal.SIGTERM)
    reply = sent.result()
    assert reply.whole
    assert reply.body.count(b'data:') == 40
    # Callers use cached addresses for a while.
    assert send(deployment, '/order/1').status == 200
    assert stopped.wait(8) == 0
    assert measure_spare(deployment, 'node-0') == 0
    deployment.stop()


def test_changes_reach_routers_whose_watch_hears_nothing() -> None:
    deployment = Deployment().start()
    deployment.control('store', deaf=True)
    routes = (make_route('/new/'),)
    changed = make_configuration(version=7, routes=routes)
    deployment.control('store', put=[['config', 'main', changed]])

    def is_changed() -> bool:
        return {
            (
                send(deployment, '/new/1', router=router).status,
                send(deployment, '/order/1', router=router).status,
            )
            for router in deployment.names
        } == {(200, 404)}

    assert wait_until(is_changed)
    deployment.stop()


def test_a_leaving_server_gets_nothing_though_history_was_lost() -> None:
    deployment = Deployment(routers=1).start()
    leaving = make_server('engine-0', deployment.backend_ports['engine-0'])
    leaving[-1]['state'] = 'draining'
    deployment.control('store', put=[leaving], forget=True)
    time.sleep(0.5)
    for _ in range(6):
        assert b'engine-0' not in stream(deployment).body
    deployment.control('store', remove=[['servers', 'engine-1']])
    assert wait_until(lambda: stream(deployment).status == 503, 3)
    deployment.stop()


def test_a_lowered_budget_binds_at_once() -> None:
    deployment = Deployment(routers=1).start(prepaid=100_000)
    stream(deployment, tokens='1000,20')
    lowered = make_configuration(version=2, prepaid=2_000)
    deployment.control('store', put=[['config', 'main', lowered]])

    def is_in_force() -> bool:
        return any(
            event['event'] == 'configuration_in_force' and event['version'] == 2
            for event in deployment.read_events('node-0')
        )

    assert wait_until(is_in_force, 3)
    statuses: list[int] = []

    def is_told_for_good() -> bool:
        statuses.append(stream(deployment, tokens='1000,20').status)
        return statuses[-1] == 402

    # While the row is being written, as on a busy machine or with a slow
    # store, the refusal is temporary; it is final once the row is written.
    assert wait_until(is_told_for_good)
    # Spare tokens of the earlier budget may not be spent any more.
    assert 200 not in statuses
    deployment.stop()


def test_a_run_that_the_engine_answers_with_a_failure_is_charged() -> None:
    deployment = Deployment(routers=1).start(prepaid=3_000)
    for name in ('engine-0', 'engine-1'):
        deployment.control(name, fault='error')
    statuses = [stream(deployment, tokens='1000,20').status for _ in range(4)]
    assert statuses[:2] == [500, 500]
    assert 500 not in statuses[2:], 'its prompts have been read'
    deployment.stop()
