"""Requests that other routers have at backend servers, as they told."""

import heapq
from typing import Final, NamedTuple

from dykemast._internal.models.gossip import RelayedLoads, ServerLoad

#: Routers whose requests are passed on in one round of news at most, and
#: seconds since they told: with six exchanges in 0.2 s, what one tells
#: reaches most routers of a large fleet in three rounds.
MAX_RELAYED_ROUTERS: Final = 24
RELAY_AGE: Final = 1.0
#: Seconds after which what a peer told of its requests is forgotten: ten
#: rounds of news, and about as long as most requests take.
MAX_PEER_LOAD_AGE_S: Final = 2.0
#: Seconds for which sums stand unless more is told: the turns of one choice,
#: which asks for each server, and little beside the age above.
SUM_TIME: Final = 0.05


class _Told(NamedTuple):
    at: float
    by_server: dict[str, ServerLoad]


class PeerLoads:
    """Requests of other routers, by the last news of each."""

    def __init__(self) -> None:
        """Know nothing yet."""
        self._told: dict[str, _Told] = {}
        self._sums: dict[str, list[int]] = {}
        #: Seconds at which these were added up; None when more was told since.
        self._summed_at: float | None = None

    def merge(
        self,
        peer: str,
        loads: tuple[ServerLoad, ...],
        now: float,
    ) -> None:
        """Take what a peer tells.

        :param peer: its instance.
        :param loads: its requests by backend server.
        :param now: seconds at which it told.
        """
        known = self._told.get(peer)
        if known is None or known.at < now:
            by_server = {load.server: load for load in loads}
            self._told[peer] = _Told(now, by_server)
            self._summed_at = None

    def merge_relayed(
        self,
        relayed: tuple[RelayedLoads, ...],
        own: str,
        now: float,
    ) -> None:
        """Take what a peer passes on.

        :param relayed: what others told it.
        :param own: instance of this router, which knows its own requests.
        :param now: seconds.
        """
        for one in relayed:
            if one.instance != own:
                self.merge(one.instance, one.loads, now - one.age)

    def export_recent(self, now: float) -> tuple[RelayedLoads, ...]:
        """Tell what peers told last.

        :param now: seconds.
        :returns: the requests of some peers, the newest news first.
        """
        limit = now - RELAY_AGE
        # Only these are written down: all of them would take most of the time
        # of an exchange in a large fleet.
        newest = heapq.nlargest(
            MAX_RELAYED_ROUTERS, self._told.items(), key=_read_at
        )
        return tuple(
            _describe(peer, told, now)
            for peer, told in newest
            if told.at > limit
        )

    def get_load(self, server: str, now: float) -> ServerLoad:
        """Add up the peers' requests at one server.

        :param server: its id.
        :param now: seconds.
        :returns: the load, of peers that were heard of lately.
        """
        summed_at = self._summed_at
        if summed_at is None or not 0 <= now - summed_at < SUM_TIME:
            self._sums = self._add_up(now - MAX_PEER_LOAD_AGE_S)
            self._summed_at = now
        return ServerLoad(server, *self._sums.get(server, (0, 0)))

    def _add_up(self, limit: float) -> dict[str, list[int]]:
        """Add up the requests that peers told of since a moment.

        :returns: running requests and unread tokens, by server; plain lists,
            as adding up takes several times as long with the type that
            tells them.
        """
        sums: dict[str, list[int]] = {}
        for peer in self._told.values():
            if peer.at > limit:
                _add_all(sums, peer.by_server)
        return sums


def _add_all(
    sums: dict[str, list[int]],
    told: dict[str, ServerLoad],
) -> None:
    for server, load in told.items():
        known = sums.setdefault(server, [0, 0])
        known[0] += load.running
        known[1] += load.unread


def _describe(peer: str, told: _Told, now: float) -> RelayedLoads:
    age = round(now - told.at, 3)
    return RelayedLoads(peer, age, tuple(told.by_server.values()))


def _read_at(told: tuple[str, _Told]) -> float:
    return told[1].at
