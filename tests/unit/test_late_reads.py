"""A late read is repeated once, another way."""

import asyncio
from collections.abc import Awaitable, Callable

from dykemast._internal.network.late_reads import read_again_if_late

DELAY_S = 0.05
Read = Callable[[], Awaitable[str]]


def answer(text: str, after: float = 0) -> Read:
    async def read() -> str:
        await asyncio.sleep(after)
        return text

    return read


def fail(after: float = 0) -> Read:
    async def read() -> str:
        await asyncio.sleep(after)
        raise OSError

    return read


async def read_both(first: Read, second: Read) -> str:
    try:
        return await read_again_if_late(first, second, DELAY_S)
    except OSError:
        return 'failed'


async def test_an_answer_in_time_is_asked_for_once() -> None:
    assert await read_both(answer('kept'), fail()) == 'kept'


async def test_the_second_read_answers_when_the_first_is_silent() -> None:
    assert await read_both(answer('kept', 60), answer('new')) == 'new'


async def test_a_late_answer_counts_when_the_other_way_fails() -> None:
    late = answer('kept', 3 * DELAY_S)
    assert await read_both(late, fail()) == 'kept'


async def test_it_fails_when_both_fail() -> None:
    assert await read_both(fail(), answer('new')) == 'failed'
    assert await read_both(fail(2 * DELAY_S), fail()) == 'failed'


async def test_nothing_goes_on_after_the_answer() -> None:
    before = asyncio.all_tasks()
    await read_both(answer('kept', 60), answer('new'))
    await asyncio.sleep(0)
    assert asyncio.all_tasks() == before
