"""A bounded mixed load over a fleet."""

import asyncio
import random
from typing import NamedTuple

import aiohttp

from tools.callers import ANSWER_TIMEOUT, Caller, Served
from tools.layout import HOST, Layout


class Load(NamedTuple):
    """A bounded load.

    :param workspaces: who asks, in turn.
    :param count: requests in all.
    :param rate: requests started a second.
    """

    workspaces: list[str]
    count: int
    rate: float


async def run_load(layout: Layout, load: Load) -> list[Served]:
    """Send a load.

    :param layout: the fleet.
    :param load: what to send.
    :returns: what became of each request.
    """
    timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        callers = _make_callers(session, layout, load.workspaces)
        return await _send_all(callers, load)


def _make_callers(
    session: aiohttp.ClientSession,
    layout: Layout,
    workspaces: list[str],
) -> list[Caller]:
    known = [f'http://{HOST}:{one.caller_port}' for one in layout.routers]
    return [
        Caller(session, name, known, random.Random(number))
        for number, name in enumerate(workspaces * 4)
    ]


async def _send_all(callers: list[Caller], load: Load) -> list[Served]:
    chance = random.Random(1)
    tasks = []
    for number in range(load.count):
        caller = callers[number % len(callers)]
        work = caller.run(f'load-{number}', 'chat' if number % 4 else 'call')
        tasks.append(asyncio.create_task(work))
        await asyncio.sleep(chance.expovariate(load.rate))
    return await asyncio.gather(*tasks)
