"""Faults of backend servers."""

import functools

from http import client as http_client

from tests.lib.deployment import Deployment
from tests.lib.fixtures import wait_until
from tests.lib.users_caller import Reply, begin_stream, send, stream
from tests.lib.users_objects import make_stream_route


@functools.cache
def start_one_engine() -> Deployment:
    """Start one router, two engines and one plain server for fault tests."""
    return Deployment(routers=1).start()


def find_engine(body: bytes) -> str:
    return 'engine-0' if b'engine-0' in body else 'engine-1'


def set_engines(deployment: Deployment, **state: object) -> None:
    for name in ('engine-0', 'engine-1'):
        deployment.control(name, **state)


def count_runs(deployment: Deployment, server: str, request_id: str) -> int:
    runs = deployment.control(server)['runs']
    return sum(run['id'] == request_id for run in runs)


def send_with_fault(fault: str, path: str, **headers: str) -> Reply:
    """Send a request while the plain server has a fault."""
    deployment = start_one_engine()
    deployment.control('plain-0', fault=fault)
    reply = send(deployment, path, **headers)
    deployment.control('plain-0', fault='')
    return reply


def test_a_server_that_sheds_has_not_run_the_request() -> None:
    deployment = start_one_engine()
    reply = send_with_fault('shed', '/order/1')
    assert reply.status == 503
    assert float(reply.headers['retry-after']) > 0
    assert not count_runs(deployment, 'plain-0', reply.request_id)


def test_unsafe_requests_run_once_and_are_never_called_not_run() -> None:
    deployment = start_one_engine()
    for fault in ('unsigned', 'other'):
        reply = send_with_fault(fault, '/order/1')
        assert reply.status == 502, fault
        assert count_runs(deployment, 'plain-0', reply.request_id) == 1
    late = send_with_fault('mute', '/order/1', X_Deadline_Ms='300')
    assert late.status == 504
    assert count_runs(deployment, 'plain-0', late.request_id) == 1


def test_what_ran_is_never_called_not_run_when_no_server_is_left() -> None:
    # The request may be repeated, but there is no other server. Fails if the
    # failed search for one reports as not run a request that ran.
    deployment = start_one_engine()
    reply = send_with_fault('unsigned', '/price/1')
    assert reply.status == 502
    assert count_runs(deployment, 'plain-0', reply.request_id) == 1


def test_a_failure_of_the_server_is_passed_on() -> None:
    reply = send_with_fault('error', '/order/1')
    assert reply.status == 500
    assert reply.body == b'failed'


def test_a_stream_that_breaks_goes_on_at_another_engine() -> None:
    deployment = start_one_engine()
    # The engine that has the prompt cached gets it again.
    first = find_engine(stream(deployment).body)
    deployment.control(first, fault='cut')
    reply = stream(deployment)
    deployment.control(first, fault='')
    assert reply.whole
    found = reply.body.split(b'\n\n')
    ids = [event.split(b'\n')[0] for event in found if event]
    assert ids == [b'id: %d' % number for number in range(1, 21)]
    assert b'engine-0' in reply.body
    assert b'engine-1' in reply.body


def check_cut_after_two_events(fault: str) -> None:
    """Check that a stream that may not be resumed is truncated."""
    deployment = start_one_engine()
    set_engines(deployment, fault=fault)
    reply = stream(deployment, '/stream/once/a')
    set_engines(deployment, fault='')
    assert not reply.whole
    assert reply.body.count(b'data:') == 2


def test_a_stream_that_may_not_be_resumed_is_cut() -> None:
    check_cut_after_two_events('cut')


def test_a_stream_that_ends_within_an_event_is_cut() -> None:
    check_cut_after_two_events('part')


def test_what_may_not_be_repeated_is_not_sent_once_more() -> None:
    # The route allows two servers, but the request may run only once.
    route = make_stream_route('/stream/two/', attempts=2, resumable=False)
    deployment = Deployment(routers=1).start(routes=(route,))
    set_engines(deployment, fault='cut')
    reply = stream(deployment, '/stream/two/a')
    assert not reply.whole
    names = ('engine-0', 'engine-1')
    runs = [count_runs(deployment, name, reply.request_id) for name in names]
    assert sorted(runs) == [0, 1]
    deployment.stop()


def test_a_server_that_is_not_there_costs_no_send() -> None:
    # The route allows one send. The address now belongs to another server, so
    # the intended one did not receive the request, and the next one may.
    route = make_stream_route('/stream/one/', attempts=1, resumable=False)
    deployment = Deployment(routers=1).start(routes=(route,))
    # The engine that has the prompt cached gets it again.
    first = find_engine(stream(deployment, '/stream/one/a').body)
    deployment.control(first, fault='misdirected')
    replies = [stream(deployment, '/stream/one/a') for _ in range(4)]
    assert {reply.status for reply in replies} == {200}
    sends = [
        event['server']
        for event in deployment.read_events('node-0')
        if event['event'] == 'send'
    ]
    assert sends.count(first) == 2, 'it is passed over once found absent'
    deployment.stop()


def find_run(deployment: Deployment, request_id: str) -> dict:
    names = [name for name in deployment.backend_ports if 'engine' in name]
    runs = [run for name in names for run in deployment.control(name)['runs']]
    return next((run for run in runs if run['id'] == request_id), {})


def has_left(deployment: Deployment, request_id: str) -> bool:
    return any(
        event.get('request') == request_id and event['event'] == 'caller_left'
        for event in deployment.read_events('node-0')
    )


def leave_after_first_bytes(deployment: Deployment) -> str:
    connection, request_id = begin_stream(deployment)
    response: http_client.HTTPResponse = connection.getresponse()
    assert response.read(10)
    response.close()
    connection.close()
    return request_id


def test_nothing_goes_on_for_a_caller_who_left() -> None:
    deployment = start_one_engine()
    set_engines(deployment, pause=0.3)
    request_id = leave_after_first_bytes(deployment)
    assert wait_until(lambda: has_left(deployment, request_id))
    assert find_run(deployment, request_id)['events'] < 10
    set_engines(deployment, pause=0.01)
    assert 'whole' not in find_run(deployment, request_id)


def test_a_request_that_waits_ends_when_its_caller_leaves() -> None:
    # Longer than the test waits, so that only the caller ends the request.
    route = make_stream_route('/stream/long/', timeoutMs=300_000)
    deployment = Deployment(routers=1, engines=1).start(routes=(route,))
    deployment.control('engine-0', pause=300)
    connection, request_id = begin_stream(
        deployment, '/stream/long/a', X_Deadline_Ms='300000'
    )
    assert wait_until(lambda: bool(find_run(deployment, request_id)))
    connection.close()
    assert wait_until(lambda: has_left(deployment, request_id))
    deployment.stop()
