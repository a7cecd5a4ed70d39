"""Tests which header fields of a caller reach a backend server."""

import string
from collections.abc import Iterable
from pathlib import Path
from typing import Any
from unittest import TestCase

from hypothesis import given, strategies

from dykemast._internal.models.forwarding import ForwardingFields
from dykemast._internal.platform import names as words
from dykemast._internal.platform.caller_fields import check_duplicates
from dykemast._internal.platform.request_headers import (
    decode_request,
    encode_forwarding,
)
from tests.lib.users_objects import HOST

Field = tuple[str, str]
Fields = tuple[Field, ...]

#: Also valid as milliseconds; no router sets this value.
FORGED = '99999'
DECLARED: Fields = (
    ('x-attempt-id', 'a1'),
    ('x-model', 'm'),
    ('x-token-usage', '100,20'),
    ('x-prefix-hash', 'aa:60,bb:40'),
    ('x-length-hint', '17'),
)
#: Fields that only a router may set.
SINGLE = (
    'authorization',
    'kv-fetch',
    'kv-from',
    'wait-ms',
    'x-deadline-ms',
    'x-expect-instance',
    'x-expect-version',
    'x-hold',
    'x-kv-backup',
    'x-pin-ms',
    'x-request-priority',
    'x-tenant',
)
FAMILIES = (
    'kv-',
    'x-deadline-',
    'x-expect-',
    'x-hold-',
    'x-kv-',
    'x-pin-',
    'x-request-priority-',
)
#: Fields that the router consumes.
HOP = (
    'connection',
    'content-length',
    'expect',
    'host',
    'keep-alive',
    'last-event-id',
    'proxy-authorization',
    'proxy-connection',
    'te',
    'trailer',
    'transfer-encoding',
    'upgrade',
)
ADDED = ForwardingFields('i-1', 'joinville', 1.2, 4)
SAID: Fields = (
    ('host', HOST),
    ('x-expect-instance', 'i-1'),
    ('x-deadline-ms', '1200'),
    ('x-tenant', 'joinville'),
    ('x-request-priority', '4'),
)
LETTERS = string.ascii_lowercase + string.digits
#: Characters that are valid in a field name.
SIGNS = f"{LETTERS}!#$%&'*+-.^_`|~"
PRINTABLE = string.printable[:95]

_later = strategies.builds(
    '{0}{1}'.format,
    strategies.sampled_from(FAMILIES),
    strategies.text(LETTERS, min_size=1),
)
_names = strategies.sampled_from(SINGLE) | _later


@strategies.composite
def spell(draw: Any, names: Any = _names) -> str:
    """Draw a spelling that a server may read as the given name."""
    spelt = []
    for sign in draw(names):
        ways = (sign, sign.upper(), sign.replace('-', '_'))
        spelt.append(draw(strategies.sampled_from(ways)))
    return ''.join(spelt)


def is_ordinary(name: str) -> bool:
    read_as = name.replace('_', '-')
    if read_as in SINGLE or read_as in HOP or read_as in dict(DECLARED):
        return False
    return not f'{read_as}-'.startswith(FAMILIES)


_ordinary = strategies.lists(
    strategies.tuples(
        strategies.text(SIGNS, min_size=1).filter(is_ordinary),
        strategies.text(PRINTABLE) | strategies.text('äé漢', min_size=1),
    )
)
_listing = strategies.lists(spell()).map(', '.join)
_listings = strategies.lists(_listing)
_misspelt = spell(strategies.sampled_from(tuple(dict(DECLARED)))).filter(
    lambda name: '_' in name
)


def forward(*fields: Field) -> Fields:
    """Forward the fields of a caller to a server."""
    sent = (('host', f'{HOST}:8227'), *fields)
    scope = {
        'method': 'POST',
        'path': '/order/1',
        'raw_path': b'/order/1',
        'query_string': b'',
        'headers': [(name.encode(), text.encode()) for name, text in sent],
    }
    return tuple(encode_forwarding(decode_request(scope), ADDED))


def list_all(listings: Iterable[str]) -> Fields:
    return tuple(('connection', listing) for listing in listings)


@given(strategies.lists(spell()), _listings)
def test_a_routers_own_words_never_come_from_a_caller(
    names: list[str],
    listings: list[str],
) -> None:
    forged = [(name, FORGED) for name in names]
    got = forward(*forged, *DECLARED, *list_all(listings), *forged)
    assert got == DECLARED + SAID


@given(strategies.sets(strategies.sampled_from(DECLARED)))
def test_listing_what_a_caller_declares_ends_nothing(
    listed: set[Field],
) -> None:
    listing = ','.join(name.title() for name, _ in listed)
    got = forward(*DECLARED, ('connection', f'close, {listing}'))
    assert got == DECLARED + SAID


@given(_misspelt)
def test_nothing_passes_for_what_a_caller_declares(name: str) -> None:
    assert forward(*DECLARED, (name, FORGED)) == DECLARED + SAID


@given(_ordinary, _listings)
def test_ordinary_fields_arrive_unchanged(
    fields: list[Field],
    listings: list[str],
) -> None:
    got = forward(*DECLARED, *fields, *list_all(listings))
    assert got == (*DECLARED, *fields, *SAID)


@given(_ordinary, strategies.booleans())
def test_fields_that_a_connection_lists_end_with_it(
    fields: list[Field],
    apart: bool,
) -> None:
    names = [name for name, _ in fields]
    listings = names if apart else [' , '.join(names)]
    got = forward(*list_all(listings), *fields, *DECLARED)
    assert got == DECLARED + SAID


@given(strategies.sampled_from(DECLARED), strategies.text(PRINTABLE))
def test_what_is_declared_twice_is_refused(field: Field, text: str) -> None:
    with TestCase().assertRaisesRegex(ValueError, f'{field[0]} is set 2 times'):
        forward(*DECLARED, (field[0].title(), text))


def test_the_last_event_is_said_once() -> None:
    got = forward(*DECLARED, ('last-event-id', '12'), ('last_event_id', '3'))
    assert got == (*DECLARED, *SAID, ('last-event-id', '12'))


def test_the_page_names_all_that_a_caller_may_and_may_not_say() -> None:
    page = (Path(__file__).parents[2] / 'docs' / 'api.md').read_text()
    named = page.lower()
    told = {
        *words.HOP_BY_HOP_HEADERS,
        *words.OWN_FIELDS,
        *words.CALLER_FIELDS,
        *words.CONTROL_FAMILIES,
    }
    assert [name for name in told if f'`{name}`' not in named] == []


@given(strategies.sampled_from(('resumes', 'last-event-id')))
def test_a_request_that_resumes_two_streams_is_malformed(name: str) -> None:
    check_duplicates([(name, '1')])
    with TestCase().assertRaises(ValueError):
        check_duplicates([(name, '1'), (name, '2')])
