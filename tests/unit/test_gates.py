"""Slots of a service: priority order, bounded queue, early refusal."""

import asyncio

from dykemast._internal.path.gates import Gate, count_slots
from dykemast._internal.path.waiting import MAX_WAITING


async def run_other_tasks() -> None:
    """Let all other tasks run as far as they can."""
    for _ in range(5):
        await asyncio.sleep(0)


async def test_urgent_requests_come_first() -> None:
    gate = Gate()
    assert await gate.enter(5, 1)
    entered = []

    async def enter(priority: int) -> None:
        assert await gate.enter(priority, 5)
        entered.append(priority)
        gate.leave(0)

    tasks = [asyncio.create_task(enter(one)) for one in (1, 9, 5)]
    await run_other_tasks()
    gate.leave(0)
    await asyncio.gather(*tasks)
    assert entered == [9, 5, 1]


async def test_request_that_would_time_out_is_refused_at_once() -> None:
    gate = Gate()
    await gate.enter(5, 1)
    gate.duration = 3
    loop = asyncio.get_running_loop()
    started = loop.time()
    assert not await gate.enter(5, 2)
    assert loop.time() - started < 1
    assert gate.estimate_wait(5) == 3


async def test_queue_is_bounded_and_lets_the_urgent_in() -> None:
    gate = Gate()
    await gate.enter(5, 1)
    waiting = [
        asyncio.create_task(gate.enter(5, 60)) for _ in range(MAX_WAITING)
    ]
    await run_other_tasks()
    assert not await gate.enter(5, 60)
    urgent = asyncio.create_task(gate.enter(6, 60))
    await run_other_tasks()
    assert [task.done() for task in waiting].count(True) == 1
    gate.leave(0)
    assert await urgent
    for task in waiting:
        task.cancel()


async def test_slot_is_not_lost_on_timeout_or_cancellation() -> None:
    gate = Gate()
    await gate.enter(5, 1)
    assert not await gate.enter(5, 0)
    cancelled = asyncio.create_task(gate.enter(5, 60))
    await run_other_tasks()
    cancelled.cancel()
    await run_other_tasks()
    gate.leave(0)
    assert gate.used == 0


def test_slots_are_shared_by_the_routers() -> None:
    assert count_slots(servers=9, worker_slots=64, routers=8) == 72
    assert count_slots(servers=0, worker_slots=64, routers=8) == 1
