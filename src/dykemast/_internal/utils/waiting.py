"""Polling until a condition holds."""

import asyncio
from collections.abc import Callable
from typing import Final

from dykemast._internal.utils.clock import read_clock

POLL_INTERVAL_S: Final = 0.05


async def wait_until(is_done: Callable[[float], bool], until: float) -> None:
    """Poll until a condition holds or a deadline passes.

    :param is_done: condition; takes the time in seconds of ``read_clock``.
    :param until: deadline, in seconds of ``read_clock``.
    """
    now = read_clock()
    while now < until and not is_done(now):
        await asyncio.sleep(POLL_INTERVAL_S)
        now = read_clock()
