"""Requests that wait for a slot, the most urgent first."""

import asyncio
import heapq
import itertools
from typing import Final, NamedTuple

#: Requests that wait for one service at most.
MAX_WAITING: Final = 512


class Waiter(NamedTuple):
    """One request that waits.

    :param rank: its priority, negative.
    :param sequence: its place among those of the same rank.
    :param admitted: whether it is let in, once that is decided.
    """

    rank: int
    sequence: int
    admitted: asyncio.Future[bool]


class WaitingQueue:
    """Bounded queue by priority."""

    def __init__(self) -> None:
        """Start with nobody waiting."""
        self._waiters: list[Waiter] = []
        self._sequence = itertools.count()

    def __len__(self) -> int:
        """Count those who wait."""
        return len(self._waiters)

    def count_before(self, priority: int) -> int:
        """Count those who would come before a new request.

        :param priority: 0 to 9.
        :returns: how many.
        """
        return len([one for one in self._waiters if -one.rank >= priority])

    def join(self, priority: int) -> Waiter | None:
        """Add a request; when the line is full the least urgent must go.

        :param priority: 0 to 9.
        :returns: its place, or nothing when it is the least urgent itself.
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
        """Take out the most urgent request.

        :returns: its place.
        """
        return heapq.heappop(self._waiters)

    def drop(self, waiter: Waiter) -> None:
        """Take out a request that goes away.

        :param waiter: its place.
        """
        self._waiters.remove(waiter)
        heapq.heapify(self._waiters)
