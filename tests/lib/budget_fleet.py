"""A large fleet with many budgets, without processes.

The parts that hold, lend and store tokens are the product's. What is admitted
counts as consumed, whatever becomes of the router that admitted it.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from dykemast._internal.models.routing_table import Workspace
from dykemast._internal.operations.rendezvous import choose_owner
from dykemast._internal.serving.requests.refusals import RefusedError
from tests.lib.budget_network import Network
from tests.lib.budget_router import BudgetRouter

NAMES = tuple(f'node-{number}' for number in range(24))
#: Longest duration of a request, in seconds.
LONGEST_S = 1


class Demand(NamedTuple):
    """What callers of one workspace ask for.

    :param name: its name.
    :param per_s: requests a second.
    :param tokens: tokens of a request.
    :param routers: routers that its callers use.
    """

    name: str
    per_s: float
    tokens: int
    routers: tuple[str, ...] = NAMES


class Tally:
    """Counts by workspace: requests and tokens."""

    def __init__(self) -> None:
        self.asked: Counter[str] = Counter()
        self.served: Counter[str] = Counter()
        self.consumed: Counter[str] = Counter()
        self.most_paid: Counter[str] = Counter()

    def begin_again(self) -> None:
        """Count requests from now on; tokens count from the start."""
        self.asked.clear()
        self.served.clear()


class BudgetFleet:
    """Routers, callers and budgets.

    :param seed: of the callers' choices.
    :param demands: what is asked for.
    :param paid: tokens paid, by workspace.
    """

    def __init__(
        self, seed: int, demands: Iterable[Demand], paid: dict[str, int]
    ) -> None:
        self.demands = tuple(demands)
        self.network = Network({})
        self.routers = [BudgetRouter(self.network, name) for name in NAMES]
        self.tally = Tally()
        self._chance = random.Random(seed)
        for name, tokens in paid.items():
            self.pay(name, tokens)

    def pay(self, workspace: str, tokens: int) -> None:
        """Change what is paid; routers learn it at once."""
        self.network.payments.version += 1
        self.network.payments.paid[workspace] = tokens
        most = max(tokens, self.tally.most_paid[workspace])
        self.tally.most_paid[workspace] = most

    def find_owners(self) -> list[BudgetRouter]:
        """Find the routers that own a budget."""
        owners = {choose_owner(one.name, NAMES) for one in self.demands}
        return [one for one in self.routers if one.name in owners]

    async def run(self, seconds: float) -> None:
        """Have callers ask for some time."""
        for router in self.routers:
            router.start()
        asking = (self._ask_for(one, seconds) for one in self.demands)
        await asyncio.gather(*asking)
        for one in self.routers:
            one.kill()

    async def _ask_for(self, demand: Demand, seconds: float) -> None:
        """Send the requests of one workspace, at an even rate."""
        asked = []
        for _ in range(int(seconds * demand.per_s)):
            asked.append(asyncio.create_task(self._ask(demand)))
            await asyncio.sleep(1 / demand.per_s)
        await asyncio.gather(*asked)

    async def _ask(self, demand: Demand) -> None:
        """Send one request to a router that runs."""
        budgets = self._choose_router(demand).upkeep.budgets
        self.tally.asked[demand.name] += 1
        workspace = Workspace(demand.name, 0, 0)
        try:
            hold = await budgets.hold(workspace, demand.tokens, priority=0)
        except RefusedError:
            return
        self.tally.served[demand.name] += 1
        self.tally.consumed[demand.name] += demand.tokens
        await asyncio.sleep(self._chance.uniform(0, LONGEST_S))
        budgets.settle(hold, demand.tokens)

    def _choose_router(self, demand: Demand) -> BudgetRouter:
        running = self.network.running
        names = [name for name in demand.routers if name in running]
        router = self._chance.choice(names or sorted(running))
        return self.routers[NAMES.index(router)]


def find_starved(tally: Tally) -> list[str]:
    """Find workspaces that are served a quarter as often as all, or less."""
    share = tally.served.total() / tally.asked.total()
    return [
        f'{name}: {tally.served[name]} of {asked} served, of all {share:.2f}'
        for name, asked in tally.asked.items()
        if 4 * tally.served[name] <= share * asked
    ]


def find_overspent(tally: Tally) -> list[str]:
    """Find workspaces that consumed more than was ever paid."""
    return [
        f'{name}: {tokens} tokens of {tally.most_paid[name]}'
        for name, tokens in tally.consumed.items()
        if tokens > tally.most_paid[name]
    ]
