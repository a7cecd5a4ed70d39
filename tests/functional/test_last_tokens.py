"""The last tokens of a budget are usable at all routers, and no more."""

import functools
import json
from collections import Counter

from tests.lib.caller import ask
from tests.lib.fixtures import make_fleet
from tools.fleet import Fleet, call_admin, top_up

CALLS = 24
PATH = '/services/orders/buy'


def buy(fleet: Fleet, number: int) -> str:
    headers = {'authorization': 'Bearer curitiba-key', 'x_budget': 'small'}
    answer = ask(fleet, number % 3, PATH, b'', **headers)
    if answer.status == 200:
        return 'ok'
    return json.loads(answer.text)['error']['code']


def find_unspent(budgets: list, name: str) -> int:
    found = [one for one in budgets if one['budget'] == name]
    return found[0]['unspent']


def test_last_tokens_are_usable_everywhere() -> None:
    fleet = make_fleet()
    top_up(fleet, 'curitiba/small', CALLS)
    buy_here = functools.partial(buy, fleet)
    codes = Counter(map(buy_here, range(CALLS + 6)))
    assert codes == {'ok': CALLS, 'budget_empty': 6}
    budgets = call_admin(fleet, '/admin/budgets')
    assert find_unspent(budgets, 'curitiba/small') == 0
