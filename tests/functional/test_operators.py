"""Concurrent submissions of operators, and unauthenticated access."""

import asyncio
import time
from urllib import error as url_error

import yaml

from dykemast._internal.exceptions import PeerError
from dykemast._internal.models.fleet import PeerCard
from dykemast._internal.network import peer_client, peer_codec
from tests.lib.fixtures import make_fleet, start_fleet, wait_until
from tools.calls import call
from tools.files import PEER_KEY, make_configuration
from tools.fleet import Fleet, call_admin, control
from tools.layout import HOST


def open_client(key: str) -> peer_client.PeerClient:
    return peer_client.PeerClient(key, peer_codec.peer_thrift.Peer)


def submit(fleet: Fleet, base: int, name: str, router: int = 0) -> int:
    """Submit a configuration; return the status if it is refused."""
    fields = {
        'text': yaml.safe_dump(make_configuration()),
        'path': 'configuration.yaml',
        'base': base,
        'submission': name,
    }
    try:
        answer = call_admin(fleet, '/admin/configuration', fields, router)
    except url_error.HTTPError as error:
        return error.code
    return answer['revision']


def read_revisions(fleet: Fleet) -> list[int]:
    return [
        call_admin(fleet, '/admin/fleet', None, router)['routers'][0][
            'revision'
        ]
        for router in (0, 1, 2)
    ]


def test_only_one_of_two_operators_wins() -> None:
    fleet = make_fleet()
    assert submit(fleet, 1, 'one', router=0) == 2
    assert submit(fleet, 1, 'other', router=1) == 409
    # A repeated submission returns the same revision.
    assert submit(fleet, 1, 'one', router=2) == 2


def test_revision_is_soon_in_force_everywhere() -> None:
    fleet = make_fleet()
    control(fleet.layout.platform_port, lose=2)
    assert submit(fleet, 1, 'lost') == 2
    started = time.monotonic()
    assert wait_until(lambda: read_revisions(fleet) == [2, 2, 2], 5)
    assert time.monotonic() - started < 5


def test_operators_need_their_key() -> None:
    port = start_fleet().layout.routers[0].admin_port
    try:
        call(f'http://{HOST}:{port}/admin/budgets', key='joinville-key')
    except url_error.HTTPError as error:
        assert error.code == 401
    else:
        raise AssertionError('budgets were shown without the operator key')


def test_peer_calls_with_a_wrong_key_are_refused() -> None:
    router = start_fleet().layout.routers[0]
    card = PeerCard('x', 'x', 'x', HOST, 0, router.port)
    lend = ('joinville/main', 100, 'stolen')
    asyncio.run(_call_with_wrong_key(card, lend))
    lent = asyncio.run(open_client(PEER_KEY).call(card, 'lend', lend))
    assert lent >= 0


async def _call_with_wrong_key(card: PeerCard, words) -> None:
    try:
        await open_client('a wrong secret!!').call(card, 'lend', words)
    except PeerError as error:
        assert 'Refused' in str(error)
    else:
        raise AssertionError('a peer call with a wrong key was served')
