"""Versions of backend servers, as their entries tell them."""

from typing import Any

from dykemast._internal.platform.servers import decode_server
from dykemast._internal.platform.store_types import StoreObject
from tests.lib.users_objects import make_server

MAX_CHARS = 200
LONG = 'x' * 300
STRANGE = (LONG, f'{LONG}x', 2, 3, {'major': 1}, f'é{LONG}')


def decode_version(**fields: Any) -> str:
    _, name, spec = make_server('engine-0', 9)
    spec = {key: told for key, told in spec.items() if key != 'version'}
    return decode_server(StoreObject(name, 1, {**spec, **fields})).version


def test_a_version_is_kept_as_told() -> None:
    assert decode_version(version='v1.1') == 'v1.1'


def test_servers_without_a_version_are_alike() -> None:
    assert decode_version() == decode_version(version=None) == ''


def test_versions_that_are_no_short_texts_are_told_apart() -> None:
    found = {decode_version(version=one) for one in STRANGE}
    assert len(found) == len(STRANGE)
    assert all(len(one) <= MAX_CHARS for one in found)
