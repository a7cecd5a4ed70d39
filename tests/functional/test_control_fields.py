"""Header fields that callers may send to backend servers."""

import contextlib
import itertools
import uuid
from http import client as http_client
from typing import Any

from tests.lib.shared_deployment import start_shared
from tests.lib.users_objects import HOST, KEY
from tools.polling import HANG_GUARD

Field = tuple[str, str]
Fields = tuple[Field, ...]

ENGINES = ('engine-0', 'engine-1')
FIRST = (
    ('Host', HOST),
    ('X-Deadline-Ms', '4000'),
    ('Authorization', f'Token {KEY}'),
    ('Content-Length', '0'),
)
DECLARED = (
    ('X-Model', 'm'),
    ('X-Token-Usage', '100,20'),
    ('X-Prefix-Hash', 'aa:60,bb:40'),
    ('X-Length-Hint', '17'),
)
#: Fields that engines act on; only routers may send them.
CONTROL = (
    ('X-Hold', 'h-1'),
    ('X-Pin-Ms', '60000'),
    ('X-Kv-Backup', '127.0.0.1:9'),
    ('Kv-From', '127.0.0.1:9/h-1'),
    ('Kv-Fetch', '127.0.0.1:9'),
    ('X-Expect-Version', '7'),
    ('Wait-Ms', '1000'),
)
#: Fields of the same families that a later protocol may define.
FUTURE_CONTROL = (
    ('Kv-Evict', 'all'),
    ('X-Kv-Fetch', '127.0.0.1:9'),
    ('X-Hold-Ms', '60000'),
    ('X-Pin-Id', 'aa'),
    ('X-Expect-Adapter', 'a-1'),
    ('X-Request-Priority-Class', 'first'),
)
#: Fields that routers set themselves.
FORGED = (
    ('X-Tenant', 'somebody'),
    ('X-Expect-Instance', 'i-forged'),
    ('X-Request-Priority', '0'),
)
#: Fields without a meaning to engines.
ORDINARY = (
    ('Accept', 'text/event-stream'),
    ('User-Agent', 'peer_news/1.0 (x; y)'),
    ('Content-Type', 'text/plain; charset=utf-8'),
    ('X-Some-App-Field', 'a  b,c="d"'),
    ('X-Request-Id', 'r-1'),
    ('Priority', 'u=0'),
    ('Cookie', 'a=1; b=2'),
    ('my_app_field', '1'),
    # UTF-8 bytes decoded as Latin-1, here and by the server.
    ('X-Clinic', 'Klinik Jati \xc3\xa9'),
)
#: Hop-by-hop fields; the first two are listed in ``Connection``.
HOP = (('X-First', '1'), ('X-Second', '2'), ('Keep-Alive', 'timeout=9'))


def ask(*fields: Field, path: str = '/stream/a') -> dict[str, str]:
    """Request a stream; return the fields that the server received."""
    request_id = uuid.uuid4().hex
    declared = (('X-Attempt-Id', request_id), *DECLARED)
    assert send(path, *declared, *fields) == 200
    return find_got(request_id)


def send(path: str, *fields: Field) -> int:
    """Send fields unchanged, including duplicates; return the status."""
    deployment = start_shared()
    connection = http_client.HTTPConnection(
        deployment.find_host('node-0'),
        deployment.ports['caller'],
        timeout=HANG_GUARD,
    )
    with contextlib.closing(connection):
        connection.putrequest(
            'POST', path, skip_host=True, skip_accept_encoding=True
        )
        for name, text in FIRST + fields:
            connection.putheader(name, text)
        connection.endheaders()
        answer = connection.getresponse()
        answer.read()
    return answer.status


def find_got(request_id: str) -> dict[str, str]:
    runs = find_runs(request_id)
    assert len(runs) == 1
    return runs[0]['headers']


def find_runs(request_id: str) -> list[dict[str, Any]]:
    deployment = start_shared()
    return [
        run
        for engine in ENGINES
        for run in deployment.control(engine)['runs']
        if run['id'] == request_id
    ]


def find_arrived(fields: Fields) -> list[str]:
    """Send the fields one by one; return the names of those that arrive."""
    arrived = []
    for name, text in fields:
        got = ask((name, text))
        arrived += [found for found in got if found == name.lower()]
    return arrived


def spell(field: Field) -> Fields:
    name, text = field
    other = name.replace('-', '_')
    return (
        (name.upper(), text),
        (name.lower(), text),
        (other.upper(), text),
        (other.lower(), text),
    )


def list_names(fields: Fields) -> Field:
    names = [name for name, _ in fields]
    return ('Connection', ', '.join(names))


def choose_same(got: dict[str, str], sent: Fields) -> Fields:
    """Return the fields that arrived unchanged."""

    def is_same(field: Field) -> bool:
        name, text = field
        return got.get(name.lower()) == text

    return tuple(filter(is_same, sent))


def test_a_control_field_of_a_caller_reaches_no_server() -> None:
    arrived = find_arrived(CONTROL)
    assert not arrived, arrived


def test_a_later_field_of_the_same_families_reaches_no_server() -> None:
    arrived = find_arrived(FUTURE_CONTROL)
    assert not arrived, arrived


def test_no_spelling_of_a_control_field_reaches_a_server() -> None:
    sent = tuple(itertools.chain.from_iterable(map(spell, CONTROL)))
    names = {name.lower() for name, _ in sent}
    assert names.isdisjoint(ask(*sent, *sent))
    assert names.isdisjoint(ask(*sent, list_names(sent)))


def test_what_a_router_says_is_not_what_the_caller_said() -> None:
    got = ask(*FORGED)
    assert not choose_same(got, FORGED)
    assert got['x-tenant'] == 'joinville'
    assert got['x-expect-instance'] in ENGINES
    # 3 for the workspace's 1, and 1 for the route's.
    assert got['x-request-priority'] == '4'
    assert 'authorization' not in got


def test_ordinary_fields_arrive_unchanged() -> None:
    sent = DECLARED + ORDINARY
    assert choose_same(ask(*ORDINARY), sent) == sent


def test_what_a_caller_declares_arrives_though_it_is_listed() -> None:
    listing = list_names((*DECLARED, ('X-Attempt-Id', '')))
    assert choose_same(ask(listing), DECLARED) == DECLARED


def test_fields_of_one_connection_end_here() -> None:
    got = ask(('Connection', 'X-First'), ('Connection', 'x , X-Second'), *HOP)
    assert not choose_same(got, HOP)


def test_a_caller_takes_up_a_stream_that_may_be_resumed() -> None:
    assert ask(('Last-Event-Id', '12'))['last-event-id'] == '12'


def test_a_stream_that_may_not_be_resumed_begins_at_its_beginning() -> None:
    # Fails if the field is forwarded although the route's streams may not be
    # resumed: a caller could have an engine run part of such a stream.
    got = ask(('Last-Event-Id', '12'), path='/stream/once/a')
    assert 'last-event-id' not in got


def test_what_is_declared_twice_is_refused() -> None:
    request_id = uuid.uuid4().hex
    for again in (*DECLARED, ('x-token-usage', '1,1'), ('x-model', 'n')):
        sent = (('X-Attempt-Id', request_id), *DECLARED, again)
        assert send('/stream/a', *sent) == 400
    assert not find_runs(request_id)
