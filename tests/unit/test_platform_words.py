"""Tests the decoding of the platform's formats into project types."""

import os
import tempfile
from pathlib import Path

from dykemast._internal.exceptions import InvalidFileError
from dykemast._internal.models.forwarding import ForwardingFields
from dykemast._internal.models.routing_table import RouteKind
from dykemast._internal.platform import (
    answer_headers,
    entry_messages,
    request_headers,
)
from dykemast._internal.platform.configuration import decode_configuration
from dykemast._internal.platform.servers import decode_server
from dykemast._internal.platform.settings import read_settings
from dykemast._internal.platform.store_types import StoreObject
from tests.lib.users_objects import (
    HOST,
    KEY,
    make_configuration,
    make_route,
    make_server,
)


def make_scope(**headers: str) -> dict:
    fields = {'host': f'{HOST}:8227', **headers}
    return {
        'method': 'POST',
        'path': '/order/a b',
        'raw_path': b'/order/a%20b',
        'query_string': b'x=%2f',
        'headers': [
            (name.replace('_', '-').encode(), text.encode())
            for name, text in fields.items()
        ],
    }


def decode(**options):
    spec = make_configuration(**options)
    return decode_configuration(StoreObject('main', 9, spec))


def test_the_longest_prefix_picks_the_route() -> None:
    table = decode(
        routes=(
            make_route('/a/', type='safe'),
            make_route('/a/b/'),
            make_route('/', split=[{'service': 'shop', 'weight': 3}]),
        )
    )
    assert table.find_route(HOST, '/a/b/c').prefix == '/a/b/'
    assert table.find_route(HOST, '/a/bc').kind is RouteKind.safe
    assert table.find_route(HOST, '/z').shares[0].service == 'shop'
    assert table.find_route('other.example', '/a/b/c') is None


def test_keys_are_kept_as_hashes_only() -> None:
    table = decode()
    assert table.find_workspace(KEY).name == 'joinville'
    assert table.find_workspace('') is None
    assert KEY not in repr(table)


def test_a_request_keeps_its_path_and_loses_what_is_not_for_servers() -> None:
    request = request_headers.decode_request(
        make_scope(
            x_attempt_id='a1',
            authorization=f'Token {KEY}',
            connection='close, X-Private',
            x_private='1',
            x_tenant='forged',
            x_request_priority='0',
            x_deadline_ms='1500',
            x_token_usage='1460,80',
            x_prefix_hash='5c:800,91:410',
            last_event_id='12',
            other='kept',
        )
    )
    assert request.target == '/order/a%20b?x=%2f'
    assert round(request.timeout_s * 1000) == 1500
    assert (request.prompt_tokens, request.output_tokens) == (1460, 80)
    assert [part.tokens for part in request.prompt] == [800, 410]
    added = ForwardingFields('i-1', 'joinville', 1.2, 4, '15')
    fields = request_headers.encode_forwarding(request, added)
    assert dict(fields) == {
        'x-attempt-id': 'a1',
        'x-token-usage': '1460,80',
        'x-prefix-hash': '5c:800,91:410',
        'other': 'kept',
        'host': HOST,
        'x-expect-instance': 'i-1',
        'x-deadline-ms': '1200',
        'x-tenant': 'joinville',
        'x-request-priority': '4',
        'last-event-id': '15',
    }
    assert len(fields) == len(dict(fields))


def test_answers_tell_whether_the_request_ran() -> None:
    shed = answer_headers.decode_answer(
        503, {'x-attempt-id': 'a1', 'x-not-executed': '1'}
    )
    assert shed.not_executed
    assert answer_headers.decode_answer(421, {}).not_executed
    failed = answer_headers.decode_answer(
        500, {'x-response-seal': 's', 'connection': 'close'}
    )
    assert not failed.not_executed
    assert failed.signed
    assert failed.headers == [(b'x-response-seal', b's')]
    assert not failed.delimited


def test_a_server_that_is_not_ready_is_leaving() -> None:
    _, name, spec = make_server('i-1', 8080)
    assert not decode_server(StoreObject(name, 1, spec)).leaving
    draining = {**spec, 'state': 'draining'}
    assert decode_server(StoreObject(name, 2, draining)).leaving


def test_entry_questions_and_answers() -> None:
    assert entry_messages.decode_entry_question(
        {'query_string': b'name=A.b&zone=z&region=sul'}
    ) == ('a.b', 'sul')
    nothing = entry_messages.decode_entry_question({'query_string': b''})
    assert nothing == ('', '')
    assert (
        entry_messages.encode_entry([], 1.5) == b'{"addresses":[],"ttlS":1.5}'
    )


def test_all_findings_of_the_settings_are_reported_together() -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'local.toml'
        path.write_text('nodeName = "n"\n[platform]\naddress = "nowhere"\n')
        os.environ['DYKEMAST_SETTINGS'] = str(path)
        try:
            read_settings()
        except InvalidFileError as error:
            fields = {finding.field for finding in error.findings}
    os.environ.pop('DYKEMAST_SETTINGS')
    assert {'zone', 'platform.address', 'bounds.graceS'} <= fields
    assert 'nodeName' not in fields
