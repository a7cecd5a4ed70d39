"""How often engines break the pauses that streams may have.

A long prompt is read in pieces between the tokens of all requests that run
beside it, so that their events come apart. How far depends on the engine,
which does not tell; the streams that pass through the routers show it.
"""

import math
from typing import Final, NamedTuple

from dykemast._internal.models.long_pauses import LongPauses

#: Part of the longest pause that a route allows from which on a pause tells
#: anything: engines pause for a tenth of it without a long prompt, and for
#: about as long with one.
TELLING_SHARE: Final = 0.7
#: Seconds in which what was seen falls to about a third: an engine that was
#: slow for a while is tried again, and some prompts come in that time.
MEMORY: Final = 20.0
#: Telling pauses that are taken to have been short enough before any was seen,
#: so that one pause alone does not condemn an engine.
PRIOR: Final = 1.0


class _Seen(NamedTuple):
    broken: float = 0
    kept: float = 0
    at: float = 0

    def decay(self, now: float) -> '_Seen':
        left = math.exp((self.at - now) / MEMORY)
        return _Seen(self.broken * left, self.kept * left, now)


class EnginePauses:
    """Long pauses between events by engine: own ones, and peers' as told."""

    def __init__(self) -> None:
        """Have seen nothing."""
        self._own: dict[str, _Seen] = {}
        self._told: dict[str, dict[str, _Seen]] = {}

    def record(
        self,
        engine: str,
        pause: float,
        objective: float,
        now: float,
    ) -> None:
        """Take note of a pause between two events of one stream.

        :param engine: id of the engine that made them.
        :param pause: seconds.
        :param objective: seconds that the route allows; 0 for any.
        :param now: seconds.
        """
        if not objective or pause < TELLING_SHARE * objective:
            return
        seen = self._own.get(engine, _Seen()).decay(now)
        if pause > objective:
            self._own[engine] = seen._replace(broken=seen.broken + 1)
        else:
            self._own[engine] = seen._replace(kept=seen.kept + 1)

    def merge(
        self,
        peer: str,
        told: tuple[LongPauses, ...],
        now: float,
    ) -> None:
        """Take what a peer has seen.

        :param peer: its instance.
        :param told: long pauses by engine.
        :param now: seconds.
        """
        self._told[peer] = {
            one.server: _Seen(one.broken, one.kept, now) for one in told
        }

    def export(self, now: float) -> tuple[LongPauses, ...]:
        """Tell what this router has seen, whatever is left of it.

        :param now: seconds.
        :returns: long pauses by engine.
        """
        # Engines that are gone are not kept for ever.
        told = [
            one
            for one in _describe_all(self._own, now)
            if one.broken + one.kept
        ]
        self._own = {one.server: self._own[one.server] for one in told}
        return tuple(told)

    def estimate_risk(self, engine: str, now: float) -> float:
        """Measure how likely a long pause there is too long.

        :param engine: its id.
        :param now: seconds.
        :returns: from 0 to 1; 0 when none was seen.
        """
        found = (self._own, *self._told.values())
        seen = [one[engine].decay(now) for one in found if engine in one]
        broken = sum(one.broken for one in seen)
        kept = sum(one.kept for one in seen)
        return broken / (broken + kept + PRIOR)


def _describe_all(found: dict[str, _Seen], now: float) -> list[LongPauses]:
    left = {engine: seen.decay(now) for engine, seen in found.items()}
    return [
        LongPauses(engine, round(seen.broken), round(seen.kept))
        for engine, seen in left.items()
    ]
