"""Router processes on the users' platform."""

import json

from tests.lib.deployment import Deployment
from tests.lib.fixtures import wait_until
from tests.lib.shared_deployment import start_shared
from tests.lib.users_caller import send, stream
from tools.calls import call


def test_a_request_passes_unchanged_and_without_its_key() -> None:
    deployment = start_shared()
    reply = send(deployment, '/order/7%2f8?a=1&b=%20', body='pallet')
    assert reply.status == 200
    assert reply.headers['x-attempt-id'] == reply.request_id
    runs = deployment.control('plain-0')['runs']
    run = next(one for one in runs if one['id'] == reply.request_id)
    assert run['query'] == 'a=1&b=%20'
    assert run['body'] == 'pallet'
    assert 'authorization' not in run['headers']
    assert run['headers']['x-tenant'] == 'joinville'
    assert run['headers']['x-expect-instance'] == 'plain-0'
    assert int(run['headers']['x-deadline-ms']) <= 4000


def test_a_forged_workspace_is_replaced() -> None:
    deployment = start_shared()
    reply = send(deployment, '/order/1', X_Tenant='somebody')
    runs = deployment.control('plain-0')['runs']
    run = next(one for one in runs if one['id'] == reply.request_id)
    assert run['headers']['x-tenant'] == 'joinville'


def is_refusal_logged(deployment: Deployment, request_id: str) -> bool:
    return any(
        event['event'] == 'refused' and event['request'] == request_id
        for event in deployment.read_events('node-0')
    )


def test_wrong_keys_and_routes_are_refused_before_anything_is_sent() -> None:
    deployment = start_shared()
    assert send(deployment, '/nowhere/').status == 404
    wrong = send(deployment, '/order/1', Authorization='Token not-a-key')
    assert wrong.status == 401
    assert wait_until(lambda: is_refusal_logged(deployment, wrong.request_id))
    assert 'not-a-key' not in deployment.processes.read_log('node-0')
    assert send(deployment, '/order/1', X_Deadline_Ms='soon').status == 400
    assert send(deployment, '/order/1', body='x' * 100_001).status == 413
    runs = deployment.control('plain-0')['runs']
    assert wrong.request_id not in {run['id'] for run in runs}


def test_a_stream_is_passed_on_and_paid_for() -> None:
    deployment = start_shared()
    reply = stream(deployment)
    assert reply.status == 200
    assert reply.whole
    assert reply.body.count(b'data:') == 20
    outcome = [
        event['event']
        for event in deployment.read_events('node-0')
        if event.get('request') == reply.request_id
    ]
    assert outcome[:2] == ['admitted', 'send']


def test_entry_answers_name_all_routers() -> None:
    deployment = start_shared()
    url = deployment.find_url('node-0', 'entry')
    expected = {deployment.find_host(name) for name in deployment.names}

    def names_all() -> bool:
        answer = call(f'{url}/resolve?name=shop.example&zone=joinville')
        assert 0 < answer['ttlS'] <= 5
        hosts = {text.partition(':')[0] for text in answer['addresses']}
        return hosts == expected

    # Routers that have just started find each other by the next gossip round.
    assert wait_until(names_all)


def test_each_line_of_the_log_is_a_document() -> None:
    deployment = start_shared()
    send(deployment, '/order/1')
    for line in deployment.processes.read_log('node-0').splitlines():
        assert json.loads(line)['instance'] == 'node-0'
