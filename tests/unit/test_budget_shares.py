"""What workspaces are served of in a fleet that counts as large, under faults.

Each workspace has paid for half as much again as it asks for: a small and a
large one over all routers, and a small and a large one over one router each.
"""

import asyncio
import random

from tests.lib import budget_faults
from tests.lib.budget_fleet import (
    NAMES,
    BudgetFleet,
    Demand,
    find_overspent,
    find_starved,
)

SECONDS = 7
#: Time after which a fault begins, in which demand becomes known.
CALM_S = 1.5
TOKENS = 2000
#: Time for which what is paid would last, in seconds.
PAID_S = 10
SEEDS = range(4)


def make_fleet(seed: int) -> BudgetFleet:
    one, another = random.Random(seed).sample(NAMES, 2)
    demands = [
        Demand('large-spread', 40, TOKENS),
        Demand('large-alone', 40, TOKENS, (one,)),
        Demand('small-spread', 3, TOKENS),
        Demand('small-alone', 3, TOKENS, (another,)),
    ]
    paid = {one.name: PAID_S * one.per_s * TOKENS for one in demands}
    return BudgetFleet(seed, demands, paid)


async def play(seed: int, *faults: budget_faults.Fault) -> list[str]:
    """Play a day; returns who was starved under faults, or overspent."""
    fleet, chance = make_fleet(seed), random.Random(seed)
    day = asyncio.create_task(fleet.run(SECONDS))
    await asyncio.sleep(CALM_S)
    fleet.tally.begin_again()
    for fault in faults:
        await fault(fleet, chance)
    await day
    return find_starved(fleet.tally) + find_overspent(fleet.tally)


async def test_no_workspace_is_starved_by_a_single_fault() -> None:
    for seed, fault in enumerate(budget_faults.FAULTS):
        assert not await play(seed, fault), fault


async def test_no_workspace_is_starved_by_faults_together() -> None:
    for seed in SEEDS:
        first, *others = random.Random(seed).sample(budget_faults.FAULTS, 3)

        async def strike_together(fleet, chance, faults=others) -> None:
            await asyncio.gather(*(one(fleet, chance) for one in faults))

        assert not await play(seed, first, strike_together), seed


async def test_no_workspace_is_starved_on_a_full_link_after_deaths() -> None:
    for seed in SEEDS:
        found = await play(
            seed,
            budget_faults.kill_most,
            budget_faults.fill_links,
            budget_faults.fill_links,
        )
        assert not found, seed
