"""Charges for the lease of a dead router, step by step."""

from tests.lib.lease_steps import (
    count_spent,
    die_and_use_up,
    find_row,
    make_world,
    use_up,
)


def test_only_the_armed_part_is_usable_after_a_write() -> None:
    world = make_world()
    dying = world.routers[0]
    row = find_row(world, dying)
    assert row.armed < row.allotted
    assert world.hold_all(dying) == row.armed - count_spent(dying)
    assert die_and_use_up(world) == row.armed - row.spent
    assert world.consumed <= world.paid


def test_the_whole_lease_is_usable_when_the_platform_is_silent() -> None:
    world = make_world()
    cut_off = world.routers[0]
    row = find_row(world, cut_off)
    world.now += 31
    assert world.hold_all(cut_off) == row.allotted - count_spent(cut_off)
    # A death cannot be shown to be within the arming delay any more.
    assert die_and_use_up(world) == row.allotted - row.spent
    assert world.consumed <= world.paid


def test_a_lost_answer_binds_the_holder_to_the_lower_level() -> None:
    world = make_world()
    dying = world.routers[0]
    world.start_work(dying, 300)
    world.renew(dying)
    world.renew(dying)
    high = find_row(world, dying).armed
    world.end_work(dying, 0)
    world.read_shard()
    for lost in world.plan(dying):
        world.shard.apply(lost)
    low = find_row(world, dying)
    assert low.armed < high
    assert world.hold_all(dying) == low.armed - count_spent(dying)
    die_and_use_up(world)
    assert world.consumed <= world.paid


def test_a_suspended_router_keeps_its_lease() -> None:
    world = make_world()
    suspended = world.routers[0]
    allotted = find_row(world, suspended).allotted
    world.now += 4000
    world.reclaim(0)
    assert find_row(world, suspended).allotted == allotted


def test_death_long_ago_charges_the_whole_lease() -> None:
    world = make_world()
    row = find_row(world, world.routers[0])
    world.replace(0, same_instance=False)
    world.now += 29
    world.reclaim(5)
    # The owner read an older version 31 s ago, after the arming delay.
    world.now += 31
    world.reclaim(5)
    assert world.shard.budget.rows.get(row.holder) is None
    use_up(world)
    assert world.consumed <= world.paid
