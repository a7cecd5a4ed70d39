"""The one clock of the program.

Its seconds also count while the machine is suspended, unlike those of the
steady clock. A router that had slept for 3 s took its configuration for as
much younger, and refused a route with 404 that had been added meanwhile. All
times are read here, timers of the event loop included, since two times from
different clocks tell nothing together.
"""

import asyncio
import time
from functools import partial
from typing import Final

#: Whether the platform has a clock that counts the time asleep.
COUNTS_SUSPENSION: Final = hasattr(time, 'CLOCK_BOOTTIME')
_CLOCK: Final = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)

#: Read the clock, in seconds from an arbitrary moment.
read_clock: Final = partial(time.clock_gettime, _CLOCK)


def read_time_of_day() -> float:
    """Read the time of day, for people and for other organisations alone.

    It may jump by hours, so that nothing of this program rests on it.

    :returns: seconds since 1970.
    """
    return time.time()


def read_asleep() -> float:
    """Read for how long the machine was asleep since an arbitrary moment.

    :returns: seconds by which the clock has gone on while the steady one
        stood still.
    """
    return read_clock() - time.monotonic()


class _ClockLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers go by this clock.

    It is woken for each by the steady one; as some timer is due every 0.05 s,
    whatever was due in a suspension is done that soon after it.
    """

    def time(self) -> float:
        """Read the clock."""
        return read_clock()


def open_loop() -> asyncio.AbstractEventLoop:
    """Open an event loop whose timers go by this clock.

    :returns: the loop.
    """
    return _ClockLoop()
