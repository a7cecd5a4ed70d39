"""How long requests of each route take."""

import contextlib
import itertools
from collections.abc import Iterator
from typing import Final, NamedTuple

#: Seconds of one span. The longest of this span and the one before counts, so
#: that some requests of every route are in it and an old burst is not.
SPAN_S: Final = 10.0


class _Longest(NamedTuple):
    span: int
    now: float
    before: float


class _Running(NamedTuple):
    route: str
    began: float


class RouteTimes:
    """The longest of the requests of each route, lately and now."""

    def __init__(self) -> None:
        """Know nothing yet."""
        self._longest: dict[str, _Longest] = {}
        self._running: dict[int, _Running] = {}
        self._numbers = itertools.count()

    @contextlib.contextmanager
    def track(self, route: str, now: float) -> Iterator[None]:
        """Take note of a request while it is in progress.

        :param route: its route.
        :param now: seconds on the steady clock at which it began.
        """
        number = next(self._numbers)
        self._running[number] = _Running(route, now)
        try:
            yield
        finally:
            self._running.pop(number)

    def record(self, route: str, took: float, now: float) -> None:
        """Take note of a request that was served.

        :param route: its route.
        :param took: seconds that it took.
        :param now: seconds on the steady clock.
        """
        known = self._find(route, now)
        self._longest[route] = known._replace(now=max(known.now, took))

    def estimate_duration(self, route: str, now: float) -> float:
        """Tell how long a request of a route may well take.

        :param route: the route.
        :param now: seconds on the steady clock.
        :returns: seconds; 0 when none was served lately, nor is in progress.
        """
        known = self._find(route, now)
        ages = (
            now - one.began
            for one in self._running.values()
            if one.route == route
        )
        return max(known.now, known.before, *ages)

    def _find(self, route: str, now: float) -> _Longest:
        span = int(now / SPAN_S)
        known = self._longest.get(route, _Longest(span, 0, 0))
        if known.span == span:
            return known
        before = known.now if known.span == span - 1 else 0
        return _Longest(span, 0, before)
