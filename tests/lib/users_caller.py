"""HTTP client for the routers of a users' deployment."""

import uuid
from http import client as http_client
from typing import NamedTuple

from tests.lib.deployment import Deployment
from tests.lib.users_objects import HOST, KEY
from tools.polling import HANG_GUARD


class Reply(NamedTuple):
    """Response to a caller; ``whole`` is False if it is truncated."""

    status: int
    headers: dict[str, str]
    body: bytes
    request_id: str
    whole: bool = True


def send(
    deployment: Deployment,
    path: str,
    router: str = 'node-0',
    body: str = 'hello',
    **headers: str,
) -> Reply:
    """Send one request to a router and read the whole response."""
    fields = _make_fields(headers)
    connection = http_client.HTTPConnection(
        deployment.find_host(router),
        deployment.ports['caller'],
        timeout=HANG_GUARD,
    )
    connection.request('POST', path, body, fields)
    answer = connection.getresponse()
    reply = Reply(
        answer.status, dict(answer.getheaders()), b'', fields['X-Attempt-Id']
    )
    try:
        reply = reply._replace(body=answer.read())
    except http_client.IncompleteRead as error:
        reply = reply._replace(body=error.partial, whole=False)
    connection.close()
    return reply


def _make_fields(headers: dict[str, str]) -> dict[str, str]:
    return {
        'Host': HOST,
        'X-Attempt-Id': uuid.uuid4().hex,
        'X-Deadline-Ms': '4000',
        'Authorization': f'Token {KEY}',
        **{name.replace('_', '-'): text for name, text in headers.items()},
    }


def stream(
    deployment: Deployment,
    path: str = '/stream/a',
    tokens: str = '100,20',
    prompt: str = 'aa:60,bb:40',
    **options: str,
) -> Reply:
    """Request a stream of events."""
    return send(
        deployment,
        path,
        X_Token_Usage=tokens,
        X_Prefix_Hash=prompt,
        **options,
    )


def begin_stream(
    deployment: Deployment,
    path: str = '/stream/a',
    router: str = 'node-0',
    **options: str,
) -> tuple[http_client.HTTPConnection, str]:
    """Request a stream for the test to read; also return its request id."""
    declared = {'X_Token_Usage': '100,20', 'X_Prefix_Hash': 'aa:60,bb:40'}
    fields = _make_fields({'X_Deadline_Ms': '20000', **declared, **options})
    connection = http_client.HTTPConnection(
        deployment.find_host(router),
        deployment.ports['caller'],
        timeout=HANG_GUARD,
    )
    connection.request('POST', path, 'hello', fields)
    return connection, fields['X-Attempt-Id']
