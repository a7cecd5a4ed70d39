"""An invalid object in the store affects no valid entry of a server.

The tests put invalid objects beside valid entries, such as an address that is a
number, an item without a name or a text that is not UTF-8, and check that
exactly the valid ones are applied.
"""

import json
from types import MappingProxyType
from typing import Any, Final

from hypothesis import given, strategies

from dykemast._internal.exceptions import HistoryLostError, PlatformError
from dykemast._internal.network.platform_session import Answer
from dykemast._internal.platform import store_codec, store_pages
from dykemast._internal.platform.json_members import split_members
from dykemast._internal.platform.store_types import Listing, StoreObject
from dykemast._internal.serving.knowledge.updates import (
    apply_changes,
    apply_listing,
)
from dykemast._internal.serving.knowledge.server_entries import make_updater
from tests.lib.serving_boards import make_board

VALID: Final = MappingProxyType(
    {
        'service': 'lm',
        'address': '127.0.0.1:9',
        'zone': 'north',
        'version': 'v1',
        'slots': 4,
        'state': 'ready',
        'coldLeftMs': 0,
        'sequence': 3,
        'born': 1_700_000_000_000,
    }
)
#: Invalid values by field; None leaves the field out.
INVALID_VALUES: Final = MappingProxyType(
    {
        'service': (None, '', 5, [], {}, 'x' * 500),
        'address': (
            None,
            5,
            ['127.0.0.1:9'],
            '127.0.0.1',
            '127.0.0.1:',
            '127.0.0.1:0',
            '127.0.0.1:65536',
            '127.0.0.1:-9',
            '127.0.0.1:9 ',
            '127.0.0.1:٩',
            ' 127.0.0.1:9',
            'host name:9',
            'example.org:9',
            '::1:9',
        ),
        'zone': (None, '', 7, {}),
        'slots': (None, '4', True, 0, -1, 1.5, 10**30, [4]),
        'state': (None, 'sleeping', True, 1),
        'sequence': ('3', -1, 1.5, []),
        'born': ('1', 1.5, -1, True, {}, 10**30),
    }
)
#: Items of a page that are not objects of the store.
RAW_ITEMS = (
    b'5',
    b'null',
    b'"text"',
    b'[]',
    b'{}',
    b'{"metadata": {}}',
    b'{"metadata": {"name": 5, "revision": 1}, "spec": {}}',
    b'{"metadata": {"name": "raw", "revision": "1"}, "spec": {}}',
    b'{"metadata": {"name": "raw", "revision": 1}, "spec": "\xff"}',
    b'{"metadata": {"name": "raw", "revision": 1}, "spec": NaN}',
    b'{"metadata": {"name": "raw", "revision": 1}, "spec": {"a": \x01}}',
    b'{"metadata": {"name": "raw", "revision": 1}, "spec": "a\x01b"}',
    rb'{"a": "\x"}',
    b'\xff\xfe',
    b'%b%b' % (b'[' * 5000, b']' * 5000),
    b'%b1%b' % (b'{"a":' * 5000, b'}' * 5000),
    b'9' * 6000,
)


def encode_entry(name: str, spec: Any) -> bytes:
    metadata = {'name': name, 'revision': 1}
    return json.dumps(
        {'metadata': metadata, 'spec': spec}, default=dict
    ).encode()


def join_page(members: list[bytes]) -> Answer:
    page = b'{"storeRevision": 9, "items": [%b]}' % b', '.join(members)
    return Answer(200, page)


def list_taken(members: list[bytes]) -> set[str]:
    """Read a page as a router does, and list the ids of its servers."""
    board = make_board()
    listing = store_pages.decode_page(join_page(members)).listing
    apply_listing(make_updater(board), listing)
    assert set(board.server_objects) == set(board.server_starts)
    return {server.server_id for server in board.servers.values()}


def make_invalid_spec(field: str, invalid: Any) -> dict[str, Any]:
    spec = {**VALID, field: invalid}
    if invalid is None:
        spec.pop(field)
    return spec


def test_each_invalid_field_makes_an_entry_invalid() -> None:
    for field, invalid_values in INVALID_VALUES.items():
        for invalid in invalid_values:
            foreign = encode_entry('foreign', make_invalid_spec(field, invalid))
            beside = [
                encode_entry('a', VALID),
                foreign,
                encode_entry('b', VALID),
            ]
            assert list_taken(beside) == {'a', 'b'}, (field, invalid)


def test_fields_that_may_be_left_out_are_not_asked_for() -> None:
    for field in ('sequence', 'born', 'version', 'coldLeftMs'):
        spec = make_invalid_spec(field, None)
        assert list_taken([encode_entry('a', spec)]) == {'a'}, field


def test_names_that_fit_no_header_field_make_an_entry_invalid() -> None:
    for name in ('', 'a b', 'a\r\nb: c', 'a\0b', 'ä', 'x' * 500):
        assert not list_taken([encode_entry(name, VALID)]), name


def test_items_that_are_no_objects_are_skipped() -> None:
    for raw in RAW_ITEMS:
        valid = encode_entry('a', VALID)
        assert list_taken([raw, valid]) == {'a'}, raw[:50]
        assert list_taken([valid, raw]) == {'a'}, raw[:50]


@given(
    strategies.lists(
        strategies.one_of(
            strategies.sampled_from(RAW_ITEMS),
            strategies.builds(
                lambda spec: encode_entry('any', spec),
                strategies.recursive(
                    strategies.none()
                    | strategies.booleans()
                    | strategies.integers()
                    | strategies.text(),
                    lambda inner: (
                        strategies.lists(inner)
                        | strategies.dictionaries(strategies.text(), inner)
                    ),
                ),
            ),
        ),
        max_size=8,
    ),
    strategies.randoms(use_true_random=False),
)
def test_valid_entries_are_applied_beside_anything(
    foreign: Any, luck: Any
) -> None:
    valid = [encode_entry(name, VALID) for name in 'abc']
    members = valid + foreign
    luck.shuffle(members)
    assert list_taken(members) == {'a', 'b', 'c'}


@given(strategies.binary(max_size=60))
def test_any_bytes_as_a_body_are_an_error_of_the_platform(body: bytes) -> None:
    answer = Answer(200, body)
    for decode in (store_pages.decode_page, store_pages.decode_changes):
        try:
            decode(answer)
        except PlatformError as error:
            assert str(error)
    try:
        store_codec.decode_object(body)
    except PlatformError as error:
        assert str(error)


@given(
    strategies.recursive(
        strategies.none() | strategies.integers() | strategies.text(),
        lambda inner: (
            strategies.lists(inner)
            | strategies.dictionaries(strategies.text(), inner)
        ),
    )
)
def test_members_are_those_that_a_reader_finds(document: Any) -> None:
    members = split_members(json.dumps([document, 1, document]).encode())
    assert [json.loads(one) for one in members] == [document, 1, document]


def test_an_entry_that_becomes_invalid_is_removed_at_once() -> None:
    # It did not expire: another object has replaced it.
    board = make_board()
    updater = make_updater(board)
    valid = [StoreObject(name, 1, VALID) for name in 'ab']
    apply_listing(updater, Listing(valid, 1))
    board.last_read_at.clear()
    foreign = StoreObject('a', 2, make_invalid_spec('slots', '4'))
    apply_listing(updater, Listing([foreign, valid[1]], 2))
    assert set(board.server_starts) == {'b'}
    assert len(board.servers) == 1
    assert not board.expired_until


def test_a_change_that_cannot_be_read_has_the_list_read_again() -> None:
    # The changed object is unknown, and its change must not be missed.
    event = b'{"removed": false, "object": %b}'
    body = b'{"storeRevision": 9, "events": [%b]}'
    for raw in RAW_ITEMS[:3]:
        answer = Answer(200, body % (event % raw))
        try:
            store_pages.decode_changes(answer)
        except HistoryLostError:
            continue
        raise AssertionError(raw)


def test_changes_beside_an_unusable_one_are_taken() -> None:
    foreign = encode_entry('foreign', make_invalid_spec('address', 5))
    events = tuple(
        b'{"removed": false, "object": %b}' % one
        for one in (foreign, encode_entry('a', VALID))
    )
    body = b'{"storeRevision": 9, "events": [%b, %b]}' % events
    changes = store_pages.decode_changes(Answer(200, body))
    board = make_board()
    apply_changes(make_updater(board), changes)
    assert set(board.server_starts) == {'a'}
