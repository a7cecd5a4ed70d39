"""Delayed, lost or repeated lease messages, step by step."""

from tests.lib.lease_steps import (
    count_committed,
    find_row,
    make_world,
    use_up,
)
from tests.lib.lease_world import World


def test_an_old_intent_that_comes_late_changes_nothing() -> None:
    world = make_world()
    router = world.routers[0]
    late = world.plan(router)
    world.start_work(router, 300)
    world.renew(router)
    world.renew(router)
    before = find_row(world, router)
    for intent in late:
        world.shard.apply(intent)
    assert find_row(world, router) == before


def raise_demand(world: World) -> None:
    for busy in world.routers[1:] * 20:
        world.start_work(busy, 40)
        world.renew(busy)


def test_a_return_without_answer_binds_the_holder() -> None:
    world = make_world()
    giving = world.routers[0]
    # The demand of the others rises, so this router has a surplus.
    raise_demand(world)
    world.now += 2
    world.renew(giving)
    before = find_row(world, giving).allotted
    for lost in world.plan(giving):
        world.shard.apply(lost)
    kept = find_row(world, giving).allotted
    assert kept < before
    world.renew(world.routers[1])
    # Cut off now, it may use the tokens it kept, not those it returned.
    world.now += 60
    world.hold_all(giving)
    assert count_committed(giving) <= kept
    use_up(world)
    assert world.consumed <= world.paid


def test_a_late_intent_does_not_open_a_closed_lease() -> None:
    world = make_world()
    router = world.routers[0]
    late = world.plan(router)
    router.lease_registry.close_all(world.now, router.seen)
    world.renew(router)
    closed = world.shard.budget
    assert len(closed.rows) == 2
    for intent in late:
        world.shard.apply(intent)
    assert world.shard.budget == closed
