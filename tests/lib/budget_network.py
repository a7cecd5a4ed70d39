"""What connects the routers of a large fleet, without processes."""

import asyncio
from typing import Any

from dykemast._internal.exceptions import PeerError, PlatformUnavailableError
from dykemast._internal.models.fleet import PeerCard
from dykemast._internal.operations.allowance_terms import Terms
from tests.lib.budget_store import BudgetStore

#: Delay of a call on a link that is not full, each way.
LINK_S = 0.004
#: Time after which a call counts as lost that no link carries.
LOST_S = 1


class Payments:
    """What is paid for each workspace, by version of the configuration.

    :param paid: tokens by workspace.
    """

    def __init__(self, paid: dict[str, int]) -> None:
        self.paid = paid
        self.version = 1

    def read_terms(self, workspace: str) -> Terms:
        """Read the bounds of a row."""
        return Terms(self.version, self.paid[workspace], 1)


class Network:
    """Links between routers, and to the store.

    :param paid: tokens paid, by workspace.
    """

    def __init__(self, paid: dict[str, int]) -> None:
        self.payments = Payments(paid)
        self.store = BudgetStore()
        #: Calls that running routers answer, by instance.
        self.running: dict[str, Any] = {}
        #: Parts of the fleet that do not reach each other, by router.
        self.parts: dict[str, int] = {}
        #: Routers that do not reach the store.
        self.without_store: set[str] = set()
        #: Seconds that calls of a router take longer, each way.
        self.delays: dict[str, float] = {}

    def is_linked(self, first: str, second: str) -> bool:
        """Tell whether two routers run and reach each other."""
        if first not in self.running or second not in self.running:
            return False
        return self.parts.get(first, 0) == self.parts.get(second, 0)

    async def answer(self, caller: str, router: str, words: Any) -> Any:
        """Have a router answer a call, whoever waits for it."""
        method, *arguments = words
        await self._travel(caller, router)
        answer = await getattr(self.running[router], method)(*arguments)
        await self._travel(caller, router)
        return answer

    async def _travel(self, caller: str, router: str) -> None:
        delays = [self.delays.get(end, 0) for end in (caller, router)]
        await asyncio.sleep(LINK_S + sum(delays))
        while not self.is_linked(caller, router):
            # Whoever waits for the answer gives up.
            await asyncio.sleep(LOST_S)


class RouterLinks:
    """Calls of one router to peers and to the store.

    :param network: carries them.
    :param name: the router.
    """

    def __init__(self, network: Network, name: str) -> None:
        self._network = network
        self._name = name

    async def call(
        self, card: PeerCard, *words: Any, timeout: float = 0.4
    ) -> Any:
        """Call a peer; the call goes on when nobody waits for it."""
        answered = asyncio.create_task(
            self._network.answer(self._name, card.instance, words)
        )
        try:
            async with asyncio.timeout(timeout):
                return await asyncio.shield(answered)
        except TimeoutError as error:
            raise PeerError(f'{card.instance}: no answer.') from error

    async def read(self, _: str, workspace: str) -> Any:
        """Read a budget."""
        return await self._reach_store(self._network.store.read(workspace))

    async def list_kind(self, _: str) -> Any:
        """List all budgets."""
        return await self._reach_store(self._network.store.list_all())

    async def write(self, _: str, planned: Any) -> Any:
        """Write a budget, if it has the expected revision."""
        return await self._reach_store(self._network.store.write(planned))

    async def _reach_store(self, called: Any) -> Any:
        if self._name in self._network.without_store:
            called.close()
            await asyncio.sleep(LINK_S)
            raise PlatformUnavailableError('no link', refused=True)
        return await called
