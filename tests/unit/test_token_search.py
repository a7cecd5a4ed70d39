"""Time that a request waits for tokens."""

import asyncio

from dykemast._internal.operations.allowance_terms import Identity
from dykemast._internal.serving.tokens.accounts import Account
from dykemast._internal.serving.requests.refusals import (
    RefusalCode,
    RefusedError,
)
from dykemast._internal.serving.tokens.token_search import TokenSearch

#: Time after which the test counts as hung; not a bound of the router.
HANG_TIMEOUT_S = 20


class SlowSource:
    """Finds tokens long after all requests have timed out."""

    def __init__(self) -> None:
        self.searches = 0

    async def find(self, account: Account) -> None:
        """Search; ``account`` does not matter here."""
        self.searches += 1
        await asyncio.sleep(10 * HANG_TIMEOUT_S)


class Writer:
    """Shows the store as available."""

    is_store_unavailable = False


async def ask_twice(search: TokenSearch, account: Account) -> RefusedError:
    asks = [
        asyncio.create_task(search.wait_for_tokens(account, tokens, 0))
        for tokens in (10, 20)
    ]
    _, waiting = await asyncio.wait(asks, timeout=HANG_TIMEOUT_S)
    assert not waiting
    refusals = [ask.exception() for ask in asks]
    assert [type(one) for one in refusals] == [RefusedError, RefusedError]
    return refusals[0]


def test_a_request_is_refused_soon_although_the_search_goes_on() -> None:
    source, account = SlowSource(), Account('shop', Identity('a', 'a/1'))
    refusal = asyncio.run(ask_twice(TokenSearch(source, Writer()), account))
    assert refusal.code is RefusalCode.budget_held
    assert refusal.retry_after > 0
    assert source.searches == 1, 'one search at a time for a budget'
    assert account.pending == 0
    # A larger request refused later does not replace the smaller one.
    assert account.is_short_of(10)
    assert account.is_short_of(20)
    assert not account.is_short_of(9)
