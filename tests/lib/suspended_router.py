"""Router that takes a stop of its process for a suspension of its machine.

``python -m tests.lib.suspended_router``. While the process is stopped, its
monotonic clock stands still and its boot-time clock goes on.
"""

import time

#: A longer interval between two clock reads is a suspension: the background
#: loops of a router read the clock many times a second.
MIN_SUSPENSION_S = 1.0

_read_running = time.monotonic


class _MonotonicClock:
    def __init__(self) -> None:
        self._seen = _read_running()
        self._slept = float()

    def read(self) -> float:
        now = _read_running()
        gap = now - self._seen
        if gap > MIN_SUSPENSION_S:
            self._slept += gap
        self._seen = now
        return now - self._slept


if __name__ == '__main__':
    time.monotonic = _MonotonicClock().read

    from dykemast._internal.commands.instance import run_instance

    run_instance()
