"""Limit of the requests in progress while the link of this router is full.

More than the link carries delay each other past their deadlines, so that fewer
are served than if some had been refused. What a link carries is not
known, so the limit follows from how this router's requests ended.
"""

import math
from collections import deque
from typing import Final, NamedTuple

#: Seconds between two changes, and seconds of observations that count.
REVIEW_INTERVAL_S: Final = 0.25
OBSERVED_S: Final = 1.0
#: Seconds for which a refusal counts as recent: as long as callers cache which
#: routers an entry names.
REFUSED_S: Final = 2.0
#: Seconds before its deadline from which on a request counts as late.
DEADLINE_MARGIN_S: Final = 0.1
#: Number and share of late requests above which the limit is lowered: some
#: requests have deadlines that no router could meet.
MIN_LATE: Final = 3
MAX_LATE_SHARE: Final = 0.1
#: Duration of the fastest exchange with a peer from which on the link is full:
#: several times what links and a busy process take.
FULL_LINK_S: Final = 0.1
#: Factors of one change, and changes that a time without requests stands for.
LOWER_FACTOR: Final = 0.8
RAISE_FACTOR: Final = 1.1
MAX_STEPS: Final = 40
#: Requests of one change while the link is full, as refused ones may keep it.
RAISE_STEP: Final = 0.5
#: Lowest limit: enough requests end to tell whether it may be raised.
MIN_LIMIT: Final = 6
#: Limit from which on there is none.
MAX_LIMIT: Final = 1000


class _Ended(NamedTuple):
    ended_at: float
    was_late: bool


class _Exchange(NamedTuple):
    ended_at: float
    duration: float


class AdmissionLimit:
    """Limit of the requests in progress, by how the latest ones ended."""

    def __init__(self) -> None:
        """Start without a limit."""
        self.limit = math.inf
        self._reviewed_at = float()
        self._refused_at = -math.inf
        self._requests: deque[_Ended] = deque()
        self._exchanges: deque[_Exchange] = deque()

    def record_end(self, deadline: float, now: float) -> None:
        """Record the end of a request, served or not.

        :param deadline: seconds at which it had to end.
        :param now: seconds.
        """
        was_late = now >= deadline - DEADLINE_MARGIN_S
        self._requests.append(_Ended(now, was_late))
        _forget(self._requests, now)

    def record_exchange(self, duration: float, now: float) -> None:
        """Record an exchange with a peer over this router's link.

        :param duration: its seconds; the timeout for one that failed.
        :param now: seconds.
        """
        self._exchanges.append(_Exchange(now, duration))
        _forget(self._exchanges, now)

    def admits(self, in_progress: int, now: float) -> bool:
        """Check the limit, and change it if that is due.

        :param in_progress: requests in progress, with a new one.
        :param now: seconds.
        :returns: whether the new one is within the limit.
        """
        elapsed = now - self._reviewed_at
        if elapsed >= REVIEW_INTERVAL_S:
            self._reviewed_at = now
            self._change(in_progress, elapsed, now)
        if in_progress <= self.limit:
            return True
        self._refused_at = now
        return False

    def has_refused(self, now: float) -> bool:
        """Tell whether a request was above the limit lately.

        :param now: seconds.
        :returns: whether one was.
        """
        return now - self._refused_at < REFUSED_S

    def describe(self, now: float) -> dict[str, float | None]:
        """Describe the limit and what it follows from, as log fields.

        :param now: seconds.
        :returns: the limit, the requests that ended and those of them that were
            late, and the seconds of the fastest exchange, within the last
            second; None for none.
        """
        fastest = _find_fastest(self._exchanges, now)
        return {
            'limit': None if math.isinf(self.limit) else round(self.limit, 1),
            'ended': len(self._requests),
            'ended_late': sum(one.was_late for one in self._requests),
            'exchange_s': None if fastest is None else round(fastest, 3),
        }

    def _change(self, in_progress: int, elapsed: float, now: float) -> None:
        _forget(self._requests, now)
        late = sum(one.was_late for one in self._requests)
        full = _is_link_full(self._exchanges, now)
        if full and late >= max(MIN_LATE, MAX_LATE_SHARE * len(self._requests)):
            lowered = LOWER_FACTOR * min(self.limit, in_progress)
            self.limit = max(MIN_LIMIT, lowered)
        elif not late:
            steps = min(MAX_STEPS, elapsed / REVIEW_INTERVAL_S)
            raised = _raise(self.limit, steps, full=full)
            self.limit = raised if raised < MAX_LIMIT else math.inf


def _is_link_full(exchanges: deque[_Exchange], now: float) -> bool:
    fastest = _find_fastest(exchanges, now)
    return fastest is not None and fastest > FULL_LINK_S


def _raise(limit: float, steps: float, *, full: bool) -> float:
    return limit + RAISE_STEP * steps if full else limit * RAISE_FACTOR**steps


def _find_fastest(exchanges: deque[_Exchange], now: float) -> float | None:
    _forget(exchanges, now)
    return min((one.duration for one in exchanges), default=None)


def _forget(observed: deque[_Ended] | deque[_Exchange], now: float) -> None:
    while observed and observed[0].ended_at < now - OBSERVED_S:
        observed.popleft()
