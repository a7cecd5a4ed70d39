"""Slots of a service at this router, and the queue before them.

Urgent requests come first. A request that cannot have a slot within its
patience, judged by the times that requests took lately, is refused at once
and told when to come back.
"""

import asyncio
import math
from typing import Final

from dykemast._internal.path.waiting import Waiter, WaitingQueue

#: Share of the patience that the estimated wait may take: the estimate is a
#: mean, and half of those at the very end of it would wait in vain.
MAX_WAIT_SHARE: Final = 0.6
#: Weight of a new duration in the running mean.
DURATION_WEIGHT: Final = 0.05


class Gate:
    """Slots of one service."""

    def __init__(self) -> None:
        """Start with nobody inside."""
        self.used = 0
        self.slots = 1
        self.duration = float(0)
        self._queue = WaitingQueue()

    def estimate_wait(self, priority: int) -> float:
        """Estimate how long a new request would wait.

        :param priority: 0 to 9, 9 most urgent.
        :returns: seconds.
        """
        before = self._queue.count_before(priority)
        if self.used < self.slots and not before:
            return 0
        return (before + 1) * self.duration / self.slots

    async def enter(self, priority: int, timeout_s: float) -> bool:
        """Wait for a slot.

        :param priority: 0 to 9, 9 most urgent.
        :param timeout_s: seconds to wait at most.
        :returns: whether there is one now; it is to be left again.
        """
        if self.used < self.slots and not self._queue:
            self.used += 1
            return True
        # Who would most likely wait in vain is told so now, not later.
        if self.estimate_wait(priority) > timeout_s * MAX_WAIT_SHARE:
            return False
        waiter = self._queue.join(priority)
        return waiter is not None and await self._wait(waiter, timeout_s)

    def leave(self, seconds: float) -> None:
        """Give a slot back, and let the most urgent waiter in.

        :param seconds: how long it was used.
        """
        weight = DURATION_WEIGHT if self.duration else 1
        self.duration += (seconds - self.duration) * weight
        self.used -= 1
        self.admit()

    def admit(self) -> None:
        """Let waiters in while there are slots."""
        while self._queue and self.used < self.slots:
            self.used += 1
            self._queue.pop().admitted.set_result(True)

    async def _wait(self, waiter: Waiter, timeout_s: float) -> bool:
        try:
            await asyncio.wait({waiter.admitted}, timeout=timeout_s)
        except asyncio.CancelledError:
            self._give_up(waiter)
            raise
        if waiter.admitted.done():
            return waiter.admitted.result()
        self._give_up(waiter)
        return False

    def _give_up(self, waiter: Waiter) -> None:
        if not waiter.admitted.done():
            waiter.admitted.cancel()
            self._queue.drop(waiter)
        elif waiter.admitted.result():
            # It was let in at the very moment at which it went away.
            self.used -= 1
            self.admit()


def count_slots(workers: int, worker_slots: int, routers: int) -> int:
    """Find this router's part of a service's slots.

    :param workers: servers of the service that stay.
    :param worker_slots: requests that one of them takes at a time.
    :param routers: routers that share them.
    :returns: at least 1.
    """
    share = workers * worker_slots / max(1, routers)
    return max(1, math.ceil(share))
