"""Longest recent duration of the requests of each route."""

import contextlib
import itertools
import math
from collections.abc import Iterator
from typing import Final, NamedTuple

#: Length of one span. The longest request of the current and the previous span
#: counts: long enough to see every route, short enough to forget old bursts.
SPAN_S: Final = 10.0


class _Durations(NamedTuple):
    span: int
    now: float
    before: float
    #: When the first request of this unbroken series of spans began.
    since: float = math.inf


class _Running(NamedTuple):
    route: str
    began: float


class RouteTimes:
    """Longest recent and running request of each route."""

    def __init__(self) -> None:
        """Start without requests."""
        self._longest: dict[str, _Durations] = {}
        self._running: dict[int, _Running] = {}
        self._numbers = itertools.count()

    @contextlib.contextmanager
    def track(self, route: str, now: float) -> Iterator[None]:
        """Track a request while it is in progress.

        :param route: its route.
        :param now: seconds on the monotonic clock at which it began.
        """
        number = next(self._numbers)
        self._running[number] = _Running(route, now)
        try:
            yield
        finally:
            self._running.pop(number)

    def record(self, route: str, took: float, now: float) -> None:
        """Record the duration of a request that was served.

        :param route: its route.
        :param took: its duration in seconds.
        :param now: seconds on the monotonic clock.
        """
        began = now - took
        self.record_end(route, began, now)
        durations = self._longest[route]
        since = min(durations.since, began)
        self._longest[route] = durations._replace(since=since)

    def record_end(self, route: str, began: float, now: float) -> None:
        """Record the end of a request, served or not.

        If only those that were served counted, all would be short while a
        server hangs.

        :param route: its route.
        :param began: seconds on the monotonic clock.
        :param now: seconds on the monotonic clock.
        """
        durations = self._get_current(route, now)
        longest = max(durations.now, now - began)
        self._longest[route] = durations._replace(now=longest)

    def estimate_duration(self, route: str, now: float) -> float:
        """Estimate how long a request of a route may take.

        :param route: the route.
        :param now: seconds on the monotonic clock.
        :returns: seconds; 0 without recent or running requests.
        """
        durations = self._get_current(route, now)
        ages = (
            now - one.began
            for one in self._running.values()
            if one.route == route
        )
        return max(durations.now, durations.before, *ages)

    def find_usual(self, route: str, now: float, left: float) -> float:
        """Find how long requests of a route take.

        What a process served within its first seconds, and of a route that was
        used for seconds only, is all short.

        :param route: the route.
        :param now: seconds on the monotonic clock.
        :param left: seconds within which a request has to end.
        :returns: seconds; infinite if the route was not in use for as long, so
            that one that takes longer would not have been seen.
        """
        if now - self._get_current(route, now).since < left:
            return math.inf
        return self.estimate_duration(route, now)

    def _get_current(self, route: str, now: float) -> _Durations:
        span = int(now / SPAN_S)
        durations = self._longest.get(route, _Durations(span, 0, 0))
        if durations.span == span:
            return durations
        if durations.span == span - 1:
            return _Durations(span, 0, durations.now, durations.since)
        return _Durations(span, 0, 0)
