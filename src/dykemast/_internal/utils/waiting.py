"""Wait until something is true."""

import asyncio
from collections.abc import Callable
from typing import Final

from dykemast._internal.utils.clock import read_clock

#: Seconds between two looks.
POLL_TIME: Final = 0.05


async def wait_until(is_done: Callable[[float], bool], until: float) -> None:
    """Look again and again until something is true.

    :param is_done: looks; takes the seconds on the steady clock.
    :param until: seconds on the steady clock until which to wait at the most.
    """
    now = read_clock()
    while now < until and not is_done(now):
        await asyncio.sleep(POLL_TIME)
        now = read_clock()
