"""Steps of scenarios of the lease rules."""

from tests.lib.lease_world import BUDGET, Router, World


def make_world() -> World:
    """Make three routers with demand; the owner reads the shard regularly."""
    world = World()
    world.top_up('first', 9000)
    for router in world.routers * 3:
        world.read_shard()
        world.start_work(router, 100)
        world.renew(router)
        world.end_work(router, 100)
        world.now += 1
    return world


def use_up(world: World) -> None:
    for _ in range(6):
        for router in world.routers:
            world.renew(router)
            world.use_all(router)
        world.now += 31


def die_and_use_up(world: World) -> int:
    """Kill the first router, reclaim its lease, use up the other tokens.

    :returns: tokens that were possibly consumed, after the reclaim.
    """
    world.replace(0, same_instance=True)
    world.reclaim(0)
    in_doubt = world.shard.budget.in_doubt
    use_up(world)
    return in_doubt


def find_row(world: World, router: Router):
    holder = router.lease_registry.holders[BUDGET].owner.holder
    return world.shard.budget.rows[holder]


def count_spent(router: Router) -> int:
    return router.lease_registry.holders[BUDGET].usage.spent


def count_committed(router: Router) -> int:
    return router.lease_registry.holders[BUDGET].usage.count_committed()
