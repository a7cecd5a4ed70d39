"""How often the gap between two events of a stream exceeds its objective.

Engines prefill a long prompt in chunks, between the decoding steps of the
other requests that run there, which delays the events of their streams. The
delay depends on the engine, which does not report it; routers observe it in
the streams that they pass on.
"""

import math
from typing import Final, NamedTuple

from dykemast._internal.models.backend import LongPauses

#: Part of a route's objective below which a pause is ignored: only those beside
#: a long prompt last longer.
MIN_PAUSE_SHARE: Final = 0.7
#: Time in which counts decay to about a third. An engine that was slow for a
#: while is tried again, and several long prompts arrive within it.
DECAY_TIME_S: Final = 20.0
#: Pauses in time that each engine starts with, so that a single long pause does
#: not rule it out.
PRIOR_IN_TIME: Final = 1.0


class _Counts(NamedTuple):
    too_long: float = 0
    in_time: float = 0
    counted_at: float = 0

    def decay(self, now: float) -> '_Counts':
        remaining = math.exp((self.counted_at - now) / DECAY_TIME_S)
        return _Counts(self.too_long * remaining, self.in_time * remaining, now)


class EnginePauses:
    """Long pauses by engine, as observed by this router and by its peers."""

    def __init__(self) -> None:
        """Start without observations."""
        self._own: dict[str, _Counts] = {}
        self._by_peer: dict[str, dict[str, _Counts]] = {}

    def record(
        self,
        engine: str,
        pause: float,
        objective: float,
        now: float,
    ) -> None:
        """Record a pause between two events of one stream.

        :param engine: id of the engine.
        :param pause: seconds.
        :param objective: longest pause in seconds that the route allows; 0
            for no objective.
        :param now: seconds on the monotonic clock.
        """
        if not objective or pause < MIN_PAUSE_SHARE * objective:
            return
        counts = self._own.get(engine, _Counts()).decay(now)
        if pause > objective:
            self._own[engine] = counts._replace(too_long=counts.too_long + 1)
        else:
            self._own[engine] = counts._replace(in_time=counts.in_time + 1)

    def merge(
        self,
        peer: str,
        received: tuple[LongPauses, ...],
        now: float,
    ) -> None:
        """Replace the counts of a peer by those that it sent.

        :param peer: its instance name.
        :param received: long pauses by engine.
        :param now: seconds on the monotonic clock.
        """
        self._by_peer[peer] = {
            one.server: _Counts(one.too_long, one.in_time, now)
            for one in received
        }

    def export(self, now: float) -> tuple[LongPauses, ...]:
        """Export this router's own counts, after decay, for peers.

        :param now: seconds on the monotonic clock.
        :returns: long pauses by engine.
        """
        # Dropping the counts that decayed to 0 also drops removed engines.
        exported = [
            one
            for one in _describe_all(self._own, now)
            if one.too_long + one.in_time
        ]
        self._own = {one.server: self._own[one.server] for one in exported}
        return tuple(exported)

    def estimate_risk(self, engine: str, now: float) -> float:
        """Estimate how likely a long pause at an engine is too long.

        :param engine: its id.
        :param now: seconds on the monotonic clock.
        :returns: probability from 0 to 1; 0 without observations.
        """
        tables = (self._own, *self._by_peer.values())
        counts = [one[engine].decay(now) for one in tables if engine in one]
        too_long = sum(one.too_long for one in counts)
        in_time = sum(one.in_time for one in counts)
        return too_long / (too_long + in_time + PRIOR_IN_TIME)


def _describe_all(tables: dict[str, _Counts], now: float) -> list[LongPauses]:
    remaining = {engine: counts.decay(now) for engine, counts in tables.items()}
    return [
        LongPauses(engine, round(counts.too_long), round(counts.in_time))
        for engine, counts in remaining.items()
    ]
