"""Slots of a service at this router, with a priority queue.

A request that is unlikely to get a slot within its timeout, judged by the
mean duration of recent requests, is refused at once with a Retry-After.
"""

import asyncio
import math
from typing import Final

from dykemast._internal.path.waiting import Waiter, WaitingQueue

#: Share of the timeout that the estimated wait may take: the estimate is a
#: mean, and many requests wait longer.
MAX_WAIT_SHARE: Final = 0.6
#: Weight of a new duration in the running mean.
DURATION_WEIGHT: Final = 0.05


class Gate:
    """Slots of one service."""

    def __init__(self) -> None:
        """Make a gate with one slot, unused."""
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
        :param timeout_s: longest wait in seconds.
        :returns: whether a slot was taken; release it with :meth:`leave`.
        """
        if self.used < self.slots and not self._queue:
            self.used += 1
            return True
        # Refuses at once what would most likely time out.
        if self.estimate_wait(priority) > timeout_s * MAX_WAIT_SHARE:
            return False
        waiter = self._queue.join(priority)
        return waiter is not None and await self._wait(waiter, timeout_s)

    def leave(self, seconds: float) -> None:
        """Release a slot, and admit the most urgent waiter.

        :param seconds: how long the slot was used.
        """
        weight = DURATION_WEIGHT if self.duration else 1
        self.duration += (seconds - self.duration) * weight
        self.used -= 1
        self.admit()

    def admit(self) -> None:
        """Admit waiters while slots are free."""
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
            # Admitted just as it timed out or was cancelled.
            self.used -= 1
            self.admit()


def count_slots(servers: int, worker_slots: int, routers: int) -> int:
    """Compute this router's share of a service's slots.

    :param servers: backend servers of the service that do not leave.
    :param worker_slots: concurrent requests of one server.
    :param routers: routers that share the servers.
    :returns: at least 1.
    """
    share = servers * worker_slots / max(1, routers)
    return max(1, math.ceil(share))
