"""Invalid rows of budgets and entries of routers.

An invalid budget must not create tokens, and one invalid entry, such as a
router listed with a name for a port, must not affect others: it made the whole
list of routers fail, which a router that starts waits for.
"""

from typing import Any

from dykemast._internal.exceptions import InvalidBudgetError
from dykemast._internal.platform.store_types import StoreObject
from dykemast._internal.serving.members.own_entry import make_card
from dykemast._internal.serving.members import members
from dykemast._internal.serving.tokens.ledger_objects import decode_ledger
from dykemast._internal.platform.member_cards import decode_card
from dykemast._internal.platform.store_types import Listing
from tests.lib.serving_boards import make_board, make_boards

ROW = ('node-1', 500, 100, 200, 3.5)


class ListedStore:
    """Lists the given routers, and accepts all writes."""

    def __init__(self, found: list[StoreObject]) -> None:
        self.found = found

    async def list_kind(self, kind: str) -> Listing:
        return Listing(self.found, 9)

    async def write(self, kind: str, stored: StoreObject) -> StoreObject:
        return stored


def make_ledger(**fields: Any) -> StoreObject:
    spec = [1, 1000, {'node-1/1': ROW}, 0, 0, 0]
    order = ('version', 'prepaid', 'rows', 'closed', 'closed_spent')
    for name, odd in fields.items():
        spec[order.index(name)] = odd
    return StoreObject('joinville', 3, spec)


def is_usable(stored: StoreObject) -> bool:
    try:
        return bool(decode_ledger(stored))
    except InvalidBudgetError:
        return False


def test_an_invalid_budget_is_not_used() -> None:
    assert is_usable(make_ledger())
    assert not is_usable(make_ledger(closed=-400))
    assert not is_usable(make_ledger(closed='0'))
    assert not is_usable(make_ledger(rows={'node-1/1': ('node-1', -500)}))
    assert not is_usable(
        make_ledger(rows={'node-1/1': ('node-1', -500, 0, 0, 0)})
    )
    assert not is_usable(make_ledger(rows=[]))
    for spec in (None, 5, 'text', {}, []):
        assert not is_usable(StoreObject('joinville', 3, spec)), spec


async def test_a_foreign_entry_hides_no_router() -> None:
    board = make_board()
    cards = [make_card(other)._asdict() for other in make_boards(4)]
    cards[2]['peer_port'] = 70_000
    cards[3]['host'] = 'a name'
    found = [
        StoreObject('foreign', 1, None),
        *(
            StoreObject(card['instance'], 2, list(card.values()))
            for card in cards
        ),
    ]
    await members.refresh_peers(board, ListedStore(found))
    assert set(board.peers) == {'node-1'}
    assert board.peers_read.is_set()


def test_an_entry_under_another_name_is_no_router() -> None:
    card = make_card(make_board('node-1'))
    assert decode_card(StoreObject('node-1', 1, list(card))) == card
    try:
        decode_card(StoreObject('node-2', 1, list(card)))
    except ValueError as error:
        raise AssertionError from error
    except Exception as error:
        assert 'node-1' in str(error)
