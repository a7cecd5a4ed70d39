"""Invalid input is refused as not run and consumes no tokens."""

import json
from http import client
from typing import NamedTuple

from tests.lib.caller import ask
from tests.lib.fixtures import start_fleet
from tools.fleet import call_admin
from tools.layout import HOST
from tools.polling import HANG_GUARD

PATH = '/v1/chat/completions'
WHOLE = '{"model": "tiny-1", "messages": [{"role": "u", "content": "x"}]}'


class Bad(NamedTuple):
    """A body and the expected refusal."""

    body: bytes
    status: int = 422
    code: str = 'bad_request'


BODIES = (
    Bad(b'{"model":'),
    Bad(b'\xff\xfe'),
    Bad(b'[]'),
    Bad(b'[' * 5000),
    Bad(WHOLE.replace('"x"', '3').encode()),
    Bad(WHOLE.replace('}]}', '}], "max_tokens": -1}').encode()),
    Bad(WHOLE.replace('}]}', '}], "n": 2}').encode()),
    Bad(WHOLE.replace('tiny-1', 'none').encode(), 404, 'not_found'),
    Bad(b' ' * 2**21, 413, 'too_large'),
)


def test_bad_input_is_refused_as_not_run() -> None:
    before = call_admin(start_fleet(), '/admin/bills')
    for bad in BODIES:
        answer = ask(start_fleet(), 0, PATH, bad.body)
        error = json.loads(answer.text)['error']
        assert answer.status == bad.status, bad.body[:40]
        assert error['code'] == bad.code, bad.body[:40]
        assert error['ran'] == 'no'
    assert call_admin(start_fleet(), '/admin/bills') == before


def test_a_wrong_key_is_refused() -> None:
    answer = ask(start_fleet(), 0, PATH, b'{}', authorization='Bearer no')
    assert answer.status == 401


def test_slow_body_is_refused() -> None:
    port = start_fleet().layout.routers[0].caller_port
    connection = client.HTTPConnection(HOST, port, timeout=HANG_GUARD)
    connection.putrequest('POST', PATH)
    connection.putheader('content-length', '100')
    connection.endheaders(b'{"model":')
    answer = connection.getresponse()
    assert answer.status == 504
    assert json.loads(answer.read())['error']['ran'] == 'no'
