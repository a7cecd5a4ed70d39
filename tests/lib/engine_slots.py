"""Slots, delayed load reports and fencing of the stand-in engine."""

import asyncio
import heapq
import itertools
import time
from collections import deque
from collections.abc import Mapping
from typing import Any


class Slots:
    """Limit of concurrent requests, urgent ones first; 0 for no limit."""

    def __init__(self) -> None:
        self.limit = 0
        self.running = 0
        self.waiting: list[Any] = []
        self._order = itertools.count()

    async def enter(self, priority: int) -> None:
        if self.limit and self.running >= self.limit:
            turn = asyncio.Future()
            entry = (-priority, next(self._order), turn)
            heapq.heappush(self.waiting, entry)
            await turn
        self.running += 1

    def leave(self) -> None:
        self.running -= 1
        while self.waiting:
            turn = heapq.heappop(self.waiting)[2]
            if not turn.done():
                turn.set_result(None)
                return


class LateReports:
    """Load reports that are returned with a delay."""

    def __init__(self) -> None:
        self.history: deque[Any] = deque(maxlen=1000)

    def delay(self, load: dict[str, int], lag: float) -> dict[str, int]:
        now = time.monotonic()
        self.history.append((now, load))
        shown = {}
        for at, report in self.history:
            if at <= now - lag:
                shown = report
        return shown


class Fence:
    """Check against the highest fencing number seen."""

    def __init__(self) -> None:
        self.newest = 0

    def is_old(self, headers: Mapping[str, str]) -> bool:
        number = int(headers.get('x-fencing-number', self.newest))
        self.newest = max(number, self.newest)
        return number < self.newest
