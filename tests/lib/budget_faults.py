"""Faults of a large fleet that holds budgets; each ends by itself."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from tests.lib.budget_fleet import NAMES, BudgetFleet

Fault = Callable[[BudgetFleet, random.Random], Awaitable[None]]
#: Delay of a full link, each way, in seconds.
FULL_LINK_S = 0.3
MOST = 14
ISOLATED = 8


async def cut_from_each_other(
    fleet: BudgetFleet, chance: random.Random
) -> None:
    """Cut the fleet into two parts."""
    fleet.network.parts = {name: chance.randint(0, 1) for name in NAMES}
    await asyncio.sleep(chance.uniform(1, 3))
    fleet.network.parts = {}


async def cut_from_the_store(fleet: BudgetFleet, chance: random.Random) -> None:
    """Cut most routers off from the store."""
    fleet.network.without_store = set(chance.sample(NAMES, MOST))
    await asyncio.sleep(chance.uniform(1, 3))
    fleet.network.without_store = set()


async def isolate(fleet: BudgetFleet, chance: random.Random) -> None:
    """Cut some routers off from all others and from the store."""
    names = chance.sample(NAMES, ISOLATED)
    fleet.network.without_store = set(names)
    fleet.network.parts = {name: 1 + names.index(name) for name in names}
    await asyncio.sleep(chance.uniform(1, 3))
    fleet.network.without_store = set()
    fleet.network.parts = {}


async def kill_owners(fleet: BudgetFleet, chance: random.Random) -> None:
    """Kill the owner of each budget, and start it again."""
    await _kill(fleet, {one.name for one in fleet.find_owners()}, chance)


async def kill_most(fleet: BudgetFleet, chance: random.Random) -> None:
    """Kill more than half of all routers, and start them again."""
    await _kill(fleet, set(chance.sample(NAMES, MOST)), chance)


async def fill_links(fleet: BudgetFleet, chance: random.Random) -> None:
    """Fill the links of routers that a workspace uses alone."""
    alone = {one.routers[0] for one in fleet.demands if one.routers != NAMES}
    fleet.network.delays = dict.fromkeys(alone, FULL_LINK_S)
    await asyncio.sleep(chance.uniform(2, 4))
    fleet.network.delays = {}


async def change_payments(fleet: BudgetFleet, chance: random.Random) -> None:
    """Raise one budget by half, and lower it to what it was."""
    name = chance.choice(fleet.demands).name
    paid = fleet.network.payments.paid[name]
    fleet.pay(name, paid * 3 // 2)
    await asyncio.sleep(chance.uniform(0.5, 2))
    fleet.pay(name, paid)


FAULTS: tuple[Fault, ...] = (
    cut_from_each_other,
    cut_from_the_store,
    isolate,
    kill_owners,
    kill_most,
    fill_links,
    change_payments,
)


async def _kill(
    fleet: BudgetFleet, names: set[str], chance: random.Random
) -> None:
    killed = [one for one in fleet.routers if one.name in names]
    for router in killed:
        router.kill()
    await asyncio.sleep(chance.uniform(0.3, 1))
    for one in killed:
        one.start()
