"""Links between routers without processes, which may be slow."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from dykemast._internal.exceptions import PeerError, UnknownCallError
from dykemast._internal.models.fleet import PeerCard
from dykemast._internal.serving.members.gossip import CALL_TIMEOUT_S

#: Delay of a call on a link that is not full, each way.
LINK_S = 0.001

Answer = Callable[..., Awaitable[Any]]


class SlowLinks:
    """The links of all routers.

    :param answer: answers a call; takes the router, the name of the call and
        its arguments.
    """

    def __init__(self, answer: Answer) -> None:
        self._answer = answer
        #: Delay of each router's link, each way, where it is not LINK_S.
        self.delays: dict[str, float] = {}
        #: Calls that no router knows.
        self.unknown_calls: set[str] = set()

    async def call(
        self, caller: str, card: PeerCard, words: Any, timeout: float
    ) -> Any:
        """Call a router; the call goes on there when nobody waits for it."""
        if words[0] in self.unknown_calls:
            raise UnknownCallError(f'{card.instance}: {words[0]} is unknown.')
        ends = (caller, card.instance)
        delay = sum(self.delays.get(end, LINK_S) for end in ends)
        answered = asyncio.create_task(
            self._answer_late(card.instance, words, delay)
        )
        try:
            async with asyncio.timeout(timeout):
                return await asyncio.shield(answered)
        except TimeoutError as error:
            raise PeerError(f'{card.instance}: no answer.') from error

    async def _answer_late(self, router: str, words: Any, delay: float) -> Any:
        method, *arguments = words
        await asyncio.sleep(delay)
        answer = await self._answer(router, method, tuple(arguments))
        await asyncio.sleep(delay)
        return answer


class RouterLink:
    """Calls of one router, in place of its gossip.

    :param links: the links of all routers.
    :param name: the router.
    """

    def __init__(self, links: SlowLinks, name: str) -> None:
        self._links = links
        self._name = name

    async def call(
        self, card: PeerCard, *words: Any, timeout: float = CALL_TIMEOUT_S
    ) -> Any:
        """Call a peer."""
        return await self._links.call(self._name, card, words, timeout)
