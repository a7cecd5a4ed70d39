"""Paths by which a caller could reach the control calls of an engine."""

import uuid
from http import client as http_client

from tests.lib.deployment import Deployment
from tests.lib.fixtures import wait_until
from tests.lib.users_objects import (
    HOST,
    KEY,
    make_configuration,
    make_stream_route,
)
from tools.polling import HANG_GUARD

#: Paths that some servers resolve to a path outside the route.
TRAVERSALS = (
    '/stream/../kv-list',
    '/stream/%2e%2e/hold-take',
    '/stream/a/.%2E/../kv-pin/aa',
    '/stream/./a',
)
ALLOWED = '/stream/a..b/report'
#: Engine calls that only routers may make.
CALLS = ('/hold-take', '/kv-pin/aa', '/report', '/%6bv-list')


def ask(deployment: Deployment, path: str) -> int:
    """Request a stream by an unnormalized path; return the status."""
    connection = http_client.HTTPConnection(
        deployment.find_host('node-0'),
        deployment.ports['caller'],
        timeout=HANG_GUARD,
    )
    fields = {
        'Host': HOST,
        'X-Attempt-Id': uuid.uuid4().hex,
        'X-Deadline-Ms': '4000',
        'X-Token-Usage': '10,2',
        'Authorization': f'Token {KEY}',
    }
    connection.request('POST', path, 'hello', fields)
    answer = connection.getresponse()
    answer.read()
    connection.close()
    return answer.status


def list_paths(deployment: Deployment) -> list[str]:
    names = ('engine-0', 'engine-1')
    runs = [run for name in names for run in deployment.control(name)['runs']]
    return [run['path'] for run in runs]


def test_no_path_of_a_caller_reaches_an_engines_own_calls() -> None:
    # Fails if dot segments are forwarded unchanged or if a route of all paths
    # matches control calls: a caller could list, pin or move cached memory.
    deployment = Deployment(routers=1)
    everything = make_configuration(routes=(make_stream_route('/'),))
    deployment.start_servers(everything)
    deployment.start_router('node-0')
    deployment.wait_ready('node-0')
    assert wait_until(lambda: ask(deployment, ALLOWED) == 200)
    assert {ask(deployment, path) for path in TRAVERSALS} == {400}
    assert {ask(deployment, path) for path in CALLS} == {404}
    assert set(list_paths(deployment)) == {ALLOWED}
    deployment.stop()
