"""Simulation of a router whose link carries less than its callers ask for.

All requests in progress share the link, and so does each exchange with a peer.
The simulation has its own clock.
"""

import dataclasses
from typing import Final, NamedTuple

from dykemast._internal.operations.admission_limit import AdmissionLimit

#: Requests per second that the link carries, and that arrive.
CARRIED_PER_S: Final = 20
ARRIVING_PER_S: Final = 30
SECONDS: Final = 30
#: Seconds for which a caller waits.
CALLER_TIMEOUT_S: Final = 2.5
#: Size of a refusal and of an exchange, as parts of a request: the body of what
#: is refused has been read.
REFUSAL: Final = 0.3
EXCHANGE: Final = 0.1
_STEP_S: Final = 0.01


class CallerCounts(NamedTuple):
    """Numbers of callers by outcome."""

    served: int
    refused: int
    late: int


@dataclasses.dataclass
class _Transfer:
    began: float
    left: float


class FullLink:
    """A link, the requests on it, and the router's limit.

    :param limited: whether the router refuses what is above its limit.
    """

    def __init__(self, *, limited: bool) -> None:
        self._limited = limited
        self._limit = AdmissionLimit()
        self._running: list[_Transfer] = []
        self._refusals: list[_Transfer] = []
        self._counts = {'served': 0, 'refused': 0, 'late': 0}

    def run(self) -> CallerCounts:
        arrived = 0
        for step in range(round(SECONDS / _STEP_S)):
            now = step * _STEP_S
            while arrived < now * ARRIVING_PER_S:
                arrived += 1
                self._admit_or_refuse(now)
            self._transfer()
            self._end(now)
        return CallerCounts(**self._counts)

    def _admit_or_refuse(self, now: float) -> None:
        in_progress = len(self._running) + 1
        duration = EXCHANGE * self._count_transfers() / CARRIED_PER_S
        self._limit.record_exchange(duration, now)
        admits = self._limit.admits(in_progress, now)
        if self._limited and not admits:
            self._counts['refused'] += 1
            self._refusals.append(_Transfer(now, REFUSAL))
        else:
            self._running.append(_Transfer(now, 1))

    def _transfer(self) -> None:
        share = CARRIED_PER_S * _STEP_S / max(1, self._count_transfers())
        for transfer in (*self._running, *self._refusals):
            transfer.left -= share
        self._refusals = [one for one in self._refusals if one.left > 0]

    def _end(self, now: float) -> None:
        running = self._running
        self._running = []
        for one in running:
            deadline = one.began + CALLER_TIMEOUT_S
            if one.left > 0 and now < deadline:
                self._running.append(one)
                continue
            self._limit.record_end(deadline, now)
            self._counts['served' if one.left <= 0 else 'late'] += 1

    def _count_transfers(self) -> int:
        return len(self._running) + len(self._refusals)
