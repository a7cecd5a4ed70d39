"""The clock of the program, which also counts suspensions of the machine.

The monotonic clock stands still during a suspension: a router suspended for 3 s
would take its configuration for 3 s younger than it is, and refuse with 404 a
route that was added meanwhile. All times are read here, those of timers of the
event loop included, since times from different clocks cannot be compared.
"""

import asyncio
import time
from collections.abc import Callable
from functools import partial
from typing import Final

#: Whether the platform has a clock that counts the time of suspensions.
COUNTS_SUSPENSION: Final = hasattr(time, 'CLOCK_BOOTTIME')
_CLOCK: Final = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)

#: Read the clock, in seconds since an arbitrary point.
read_clock: Final = partial(time.clock_gettime, _CLOCK)

#: Interval between two checks of a condition that is waited for.
POLL_INTERVAL_S: Final = 0.05


def read_time_of_day() -> float:
    """Read the wall clock, only for texts to people and other organisations.

    It may jump by hours, so the program bases no decision on it.

    :returns: seconds since the epoch.
    """
    return time.time()


def read_suspended_time() -> float:
    """Read how long the machine was suspended since an arbitrary point.

    :returns: seconds that this clock counts and the monotonic clock does not.
    """
    return read_clock() - time.monotonic()


class _ClockLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers use this clock.

    Its selector waits by the monotonic clock. As some timer is due every
    0.05 s, timers that expired in a suspension run that soon after it.
    """

    def time(self) -> float:
        """Read the clock."""
        return read_clock()


def open_loop() -> asyncio.AbstractEventLoop:
    """Make an event loop whose timers use this clock.

    :returns: the loop.
    """
    return _ClockLoop()


async def wait_until(is_done: Callable[[float], bool], until: float) -> None:
    """Poll until a condition holds or a deadline passes.

    :param is_done: condition; takes the time in seconds of ``read_clock``.
    :param until: deadline, in seconds of ``read_clock``.
    """
    now = read_clock()
    while now < until and not is_done(now):
        await asyncio.sleep(POLL_INTERVAL_S)
        now = read_clock()
