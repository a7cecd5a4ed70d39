"""Steps of the lease rules' scenarios."""

from tests.lib.lease_world import BUDGET, Router, World


def make_world() -> World:
    """Three routers with demand; the keeper reads as it goes."""
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
    """Let the first router die, take its lease back, use up what is left.

    :returns: tokens in doubt once its lease was taken back.
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
