"""Workers with slots and a limited prefix cache, on simulated time."""

import heapq
from collections import Counter, OrderedDict
from typing import Final, NamedTuple

from dykemast._internal.models.fleet import LoadReport

#: Workers and routers of the larger deployment today.
WORKERS: Final = 9
ROUTERS: Final = 8
#: Requests that a worker runs at a time.
SLOTS: Final = 8
#: Prefixes that a worker's cache holds, and prefixes in all.
CACHED: Final = 12
PREFIXES: Final = 60
#: Seconds until the first token with the prefix cached, and without.
HIT: Final = 0.05
MISS: Final = 0.4
#: Seconds from the first token to the last.
DECODE: Final = 1.0
#: Seconds between load reports.
REPORT: Final = 1.0


class Request(NamedTuple):
    """One request.

    :param router: that sends it.
    :param prefix: of its prompt.
    :param at: seconds.
    """

    router: int
    prefix: int
    at: float


class Pool:
    """The workers as they are, and as the routers see them."""

    def __init__(self) -> None:
        """Start idle with empty caches."""
        idle = [float(0) for _ in range(SLOTS)]
        self.free = [list(idle) for _ in range(WORKERS)]
        self.caches: list[OrderedDict[int, None]] = [
            OrderedDict() for _ in range(WORKERS)
        ]
        self.ends: list[tuple[float, int, int]] = []
        self.inflight: list[Counter[int]] = [Counter() for _ in range(ROUTERS)]
        self.reports = [LoadReport() for _ in range(WORKERS)]
        self.known = [Counter(counts) for counts in self.inflight]

    def run(self, worker: int, request: Request) -> float:
        """Run a request.

        :param worker: that runs it.
        :param request: the request.
        :returns: seconds until its first token.
        """
        cache = self.caches[worker]
        work = HIT if request.prefix in cache else MISS
        cache[request.prefix] = None
        cache.move_to_end(request.prefix)
        if len(cache) > CACHED:
            cache.popitem(last=False)
        start = heapq.heappop(self.free[worker])
        first = max(request.at, start) + work
        end = first + DECODE
        heapq.heappush(self.free[worker], end)
        heapq.heappush(self.ends, (end, request.router, worker))
        self.inflight[request.router][worker] += 1
        return first - request.at

    def settle(self, now: float) -> None:
        """End what has ended, and let reports come in.

        :param now: seconds.
        """
        while self.ends and self.ends[0][0] <= now:
            _, router, worker = heapq.heappop(self.ends)
            self.inflight[router][worker] -= 1
        if now >= self.reports[0].at + REPORT:
            self.known = [Counter(counts) for counts in self.inflight]
            self.reports = [
                LoadReport(running=self.count_running(worker), at=now)
                for worker in range(WORKERS)
            ]

    def count_running(self, worker: int) -> int:
        """Count the requests that a worker has.

        :param worker: which one.
        :returns: how many, from all routers.
        """
        return sum(counts[worker] for counts in self.inflight)
