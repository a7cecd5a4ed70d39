"""Priority queue of requests that wait for a slot."""

import asyncio
import heapq
import itertools
from typing import Final, NamedTuple

MAX_WAITING: Final = 512


class Waiter(NamedTuple):
    """One waiting request.

    :param rank: its priority, negative.
    :param sequence: order of arrival among those of the same rank.
    :param admitted: future, set to whether the request is admitted.
    """

    rank: int
    sequence: int
    admitted: asyncio.Future[bool]


class WaitingQueue:
    """Bounded queue by priority."""

    def __init__(self) -> None:
        """Make an empty queue."""
        self._waiters: list[Waiter] = []
        self._sequence = itertools.count()

    def __len__(self) -> int:
        """Count the waiting requests."""
        return len(self._waiters)

    def count_before(self, priority: int) -> int:
        """Count the requests that would precede a new one.

        :param priority: 0 to 9.
        :returns: the count.
        """
        return len([one for one in self._waiters if -one.rank >= priority])

    def join(self, priority: int) -> Waiter | None:
        """Add a request; a full queue evicts the least urgent one.

        :param priority: 0 to 9.
        :returns: its entry, or ``None`` when it is the least urgent itself.
        """
        if len(self._waiters) >= MAX_WAITING:
            last = max(self._waiters)
            if -last.rank >= priority:
                return None
            self.drop(last)
            last.admitted.set_result(False)
        waiter = Waiter(-priority, next(self._sequence), asyncio.Future())
        heapq.heappush(self._waiters, waiter)
        return waiter

    def pop(self) -> Waiter:
        """Remove the most urgent request.

        :returns: its entry.
        """
        return heapq.heappop(self._waiters)

    def drop(self, waiter: Waiter) -> None:
        """Remove a request that gave up or is evicted.

        :param waiter: its entry.
        """
        self._waiters.remove(waiter)
        heapq.heapify(self._waiters)
