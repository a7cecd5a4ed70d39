"""A router on a machine that is suspended whenever the process stands still.

``python -m tests.lib.suspended_router``. Its steady clock then does not count
that time, as that of a machine that sleeps; the clock that counts it does.
"""

import time

#: Seconds between two readings of the clock that show a suspension: loops of
#: a router read it many times a second.
SHORTEST = 1.0

_read_running = time.monotonic


class _SteadyClock:
    def __init__(self) -> None:
        self._seen = _read_running()
        self._slept = float()

    def read(self) -> float:
        now = _read_running()
        gap = now - self._seen
        if gap > SHORTEST:
            self._slept += gap
        self._seen = now
        return now - self._slept


if __name__ == '__main__':
    time.monotonic = _SteadyClock().read

    from dykemast._internal.commands.instance import run_instance

    run_instance()
