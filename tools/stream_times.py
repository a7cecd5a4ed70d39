"""Times of streamed answers, as a caller sees them."""

import asyncio
import time
from typing import Any, Final

import aiohttp

from tools.bodies import PATHS
from tools.percentiles import Summary, Times, make_times, summarise

#: Words of each answer.
WORDS: Final = 80
#: Rounds of streams that are measured.
ROUNDS: Final = 2
#: Seconds between the beginnings of two streams.
STAGGER: Final = 0.01
_TIMEOUT: Final = 60


async def time_streams(base: str, streams: int) -> Summary:
    """Time streams that run at the same time.

    :param base: URL of a router or an engine.
    :param streams: how many at a time.
    :returns: the percentiles.
    """
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT)
    connector = aiohttp.TCPConnector(limit=0)
    times: list[Times] = []
    session = aiohttp.ClientSession(timeout=timeout, connector=connector)
    async with session:
        # The first round opens connections and leases.
        await _time_round(session, base, streams)
        for _ in range(ROUNDS):
            times.extend(await _time_round(session, base, streams))
    return summarise(times)


async def _time_round(
    session: aiohttp.ClientSession,
    base: str,
    streams: int,
) -> list[Times]:
    return await asyncio.gather(
        *(_time_stream(session, base, number) for number in range(streams))
    )


async def _time_stream(
    session: aiohttp.ClientSession,
    base: str,
    number: int,
) -> Times:
    # Streams begin one after the other, as callers do.
    await asyncio.sleep(number * STAGGER)
    started = time.perf_counter()
    marks: list[float] = []
    async with _post(session, base, number) as response:
        response.raise_for_status()
        async for _ in response.content.iter_any():
            marks.append(time.perf_counter())
    return make_times(started, marks)


def _post(session: aiohttp.ClientSession, base: str, number: int) -> Any:
    headers = {
        'authorization': 'Bearer joinville-key',
        # An engine that is asked directly wants an id; a router makes one.
        'x-request-id': f'direct-{number}',
    }
    return session.post(
        base + PATHS['chat'], json=_make_body(number), headers=headers
    )


def _make_body(number: int) -> dict[str, Any]:
    prompt = f'p{number} stop={WORDS}'
    return {
        'model': 'tiny-1',
        'stream': True,
        'max_tokens': WORDS,
        'messages': [{'role': 'user', 'content': prompt}],
    }
