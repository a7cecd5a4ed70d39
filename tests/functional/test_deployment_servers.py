"""What backend servers may do wrong, over real processes."""

import functools

from tests.lib.deployment import Deployment
from tests.lib.users_caller import send, stream


@functools.cache
def start_one_engine() -> Deployment:
    """One router, two engines and one plain server, to be broken in turn."""
    return Deployment(routers=1).start()


def count_runs(deployment: Deployment, server: str, request_id: str) -> int:
    runs = deployment.control(server)['runs']
    return sum(run['id'] == request_id for run in runs)


def test_a_server_that_sheds_has_not_run_the_request() -> None:
    deployment = start_one_engine()
    deployment.control('plain-0', fault='shed')
    reply = send(deployment, '/order/1')
    deployment.control('plain-0', fault='')
    assert reply.status == 503
    assert float(reply.headers['retry-after']) > 0
    assert not count_runs(deployment, 'plain-0', reply.request_id)


def test_unsafe_requests_run_once_and_are_never_called_not_run() -> None:
    deployment = start_one_engine()
    for fault in ('unsigned', 'other'):
        deployment.control('plain-0', fault=fault)
        reply = send(deployment, '/order/1')
        assert reply.status == 502, fault
        assert count_runs(deployment, 'plain-0', reply.request_id) == 1
    deployment.control('plain-0', fault='mute')
    late = send(deployment, '/order/1', X_Deadline_Ms='300')
    deployment.control('plain-0', fault='')
    assert late.status == 504
    assert count_runs(deployment, 'plain-0', late.request_id) == 1


def test_a_failure_of_the_server_is_passed_on() -> None:
    deployment = start_one_engine()
    deployment.control('plain-0', fault='error')
    reply = send(deployment, '/order/1')
    deployment.control('plain-0', fault='')
    assert reply.status == 500
    assert reply.body == b'failed'


def test_a_stream_that_breaks_goes_on_at_another_engine() -> None:
    deployment = start_one_engine()
    # The engine that has read the prompt gets it again.
    first = 'engine-0' if b'engine-0' in stream(deployment).body else 'engine-1'
    deployment.control(first, fault='cut')
    reply = stream(deployment)
    deployment.control(first, fault='')
    assert reply.whole
    found = reply.body.split(b'\n\n')
    ids = [event.split(b'\n')[0] for event in found if event]
    assert ids == [b'id: %d' % number for number in range(1, 21)]
    assert b'engine-0' in reply.body
    assert b'engine-1' in reply.body


def test_a_stream_that_may_not_be_resumed_is_cut() -> None:
    deployment = start_one_engine()
    for name in ('engine-0', 'engine-1'):
        deployment.control(name, fault='cut')
    reply = stream(deployment, '/stream/once/a')
    for name in ('engine-0', 'engine-1'):
        deployment.control(name, fault='')
    assert not reply.whole
    assert reply.body.count(b'data:') == 2
