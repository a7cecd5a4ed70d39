"""One request on one connection, until its end as its caller sees it."""

import select
import time
from http import client as http_client
from typing import NamedTuple

from tests.soak.seen import CLOSED, CUT, LATE, LEFT, UNREACHED, WHOLE

CHUNK = 65536
#: Seconds in which a new connection comes up, and for which a caller waits on
#: after the time that it gave.
CONNECT_TIMEOUT = 1.0
EXTRA_PATIENCE = 2.0

Connection = http_client.HTTPConnection


class Request(NamedTuple):
    """What a caller wants.

    :param path: where.
    :param events: of the stream that it asks for; 0 for a plain answer.
    :param time_left: seconds that it gives.
    :param leaves_after: seconds after which it leaves; 0 if it stays.
    :param after: last event that the caller has of a stream.
    :param resumes: request that brought the first one.
    """

    path: str
    events: int = 0
    time_left: float = 2.5
    leaves_after: float = 0
    after: int = 0
    resumes: str = ''


class Answer(NamedTuple):
    """What came; ``closing`` when the connection is not to be used again."""

    end: str
    status: int = 0
    body: bytes = b''
    closing: bool = True
    retry_after: float = 0


def is_usable(connection: Connection) -> bool:
    """Tell whether a kept connection is open, as far as one can see."""
    if connection.sock is None:
        return False
    poll = select.poll()
    poll.register(connection.sock, select.POLLIN)
    return not poll.poll(0)


def exchange(
    connection: Connection, request: Request, fields: dict[str, str]
) -> Answer:
    """Send a request and read its answer; close what cannot be kept."""
    answer = Answer(UNREACHED)
    if connection.sock or _connect(connection):
        answer = _exchange(connection, request, fields)
    if answer.closing:
        connection.close()
    return answer


def _connect(connection: Connection) -> bool:
    connection.timeout = CONNECT_TIMEOUT
    try:
        connection.connect()
    except OSError:
        return False
    return True


def _exchange(
    connection: Connection, request: Request, fields: dict[str, str]
) -> Answer:
    patience = request.leaves_after or request.time_left + EXTRA_PATIENCE
    gone = LEFT if request.leaves_after else LATE
    until = time.monotonic() + patience
    connection.sock.settimeout(patience)
    try:
        response = _ask(connection, request, fields)
    except TimeoutError:
        return Answer(gone)
    except (OSError, http_client.HTTPException):
        return Answer(CLOSED)
    return _read(response, until, gone)


def _ask(
    connection: Connection, request: Request, fields: dict[str, str]
) -> http_client.HTTPResponse:
    connection.request('POST', request.path, 'hello', fields)
    return connection.getresponse()


def _read(
    response: http_client.HTTPResponse, until: float, gone: str
) -> Answer:
    body = bytearray()
    end = ''
    while not end:
        end = _read_part(response, body)
        if not end and time.monotonic() > until:
            end = gone
    response.close()
    return Answer(
        gone if end == LATE else end,
        response.status,
        bytes(body),
        response.will_close or end != WHOLE,
        float(response.getheader('Retry-After') or 0),
    )


def _read_part(response: http_client.HTTPResponse, body: bytearray) -> str:
    """Read a part; tell how the answer ended, if it did."""
    try:
        part = response.read1(CHUNK)
    except TimeoutError:
        return LATE
    except (OSError, http_client.HTTPException):
        return CUT
    body.extend(part)
    if part:
        return ''
    return CUT if response.length else WHOLE
