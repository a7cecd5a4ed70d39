"""A bounded mixed load over a fleet."""

import asyncio
import random
from typing import NamedTuple

import aiohttp

from tools.callers import ANSWER_TIMEOUT, MAX_ATTEMPTS, Caller, Served
from tools.layout import HOST, Layout


class Load(NamedTuple):
    """A bounded load.

    :param workspaces: who asks, in turn.
    :param count: requests in all.
    :param rate: requests started a second.
    :param attempts: times that a caller asks under one key.
    :param name: start of the idempotency keys.
    """

    workspaces: list[str]
    count: int
    rate: float
    attempts: int = MAX_ATTEMPTS
    name: str = 'load'


async def run_load(layout: Layout, load: Load) -> list[Served]:
    """Send a load.

    :param layout: the fleet.
    :param load: what to send.
    :returns: what became of each request.
    """
    timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT)
    # Callers must not wait for each other's connections.
    connector = aiohttp.TCPConnector(limit=0)
    session = aiohttp.ClientSession(timeout=timeout, connector=connector)
    async with session:
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
        tasks.append(asyncio.create_task(_send_one(caller, load, number)))
        await asyncio.sleep(chance.expovariate(load.rate))
    return await asyncio.gather(*tasks)


async def _send_one(caller: Caller, load: Load, number: int) -> Served:
    key = f'{load.name}-{number}'
    return await caller.run(key, choose_kind(number), load.attempts)


def choose_kind(number: int) -> str:
    """Choose what a request is: every fourth calls the plain service.

    :param number: of the request.
    :returns: ``chat`` or ``call``.
    """
    return 'chat' if number % 4 else 'call'
