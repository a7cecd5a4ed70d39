"""Load that other routers put on backend servers, as they reported it."""

import heapq
from typing import Final, NamedTuple

from dykemast._internal.models.gossip import RelayedLoads, ServerLoad

#: Bounds for the loads that one gossip message relays: number of routers, and
#: age. Relayed, a load reaches most routers of a large fleet within few rounds.
MAX_RELAYED_ROUTERS: Final = 24
MAX_RELAY_AGE_S: Final = 1.0
#: Age at which the load of a peer is ignored: ten gossip rounds, and about the
#: duration of most requests.
MAX_PEER_LOAD_AGE_S: Final = 2.0
#: Time for which cached sums are used unless a report arrives: long enough for
#: one choice, which reads each server, and short beside the age above.
SUM_TTL_S: Final = 0.05


class _PeerReport(NamedTuple):
    received_at: float
    by_server: dict[str, ServerLoad]


class PeerLoads:
    """Loads of other routers, by the newest report of each."""

    def __init__(self) -> None:
        """Start without reports."""
        self._received: dict[str, _PeerReport] = {}
        self._sums: dict[str, list[int]] = {}
        #: Time of the sums; None when a report has arrived since.
        self._summed_at: float | None = None

    def merge(
        self,
        peer: str,
        loads: tuple[ServerLoad, ...],
        now: float,
    ) -> None:
        """Store the loads of a peer, unless a newer report is known.

        :param peer: its instance name.
        :param loads: its requests by backend server.
        :param now: seconds on the monotonic clock at which it reported them.
        """
        known = self._received.get(peer)
        if known is None or known.received_at < now:
            by_server = {load.server: load for load in loads}
            self._received[peer] = _PeerReport(now, by_server)
            self._summed_at = None

    def merge_relayed(
        self,
        relayed: tuple[RelayedLoads, ...],
        own: str,
        now: float,
    ) -> None:
        """Store the loads of third routers that a peer relays.

        :param relayed: loads that the peer received.
        :param own: instance name of this router, whose own loads are skipped.
        :param now: seconds on the monotonic clock.
        """
        for one in relayed:
            if one.instance != own:
                self.merge(one.instance, one.loads, now - one.age)

    def export_recent(self, now: float) -> tuple[RelayedLoads, ...]:
        """Export the newest loads of peers, to be relayed.

        :param now: seconds on the monotonic clock.
        :returns: loads of at most ``MAX_RELAYED_ROUTERS`` peers, newest first.
        """
        min_received_at = now - MAX_RELAY_AGE_S
        # Describing all peers would take most of the time of an exchange in a
        # large fleet.
        newest = heapq.nlargest(
            MAX_RELAYED_ROUTERS, self._received.items(), key=_get_received_at
        )
        return tuple(
            _describe(peer, report, now)
            for peer, report in newest
            if report.received_at > min_received_at
        )

    def get_load(self, server: str, now: float) -> ServerLoad:
        """Get the load that all live peers put on one server.

        :param server: its id.
        :param now: seconds on the monotonic clock.
        :returns: sum over reports younger than ``MAX_PEER_LOAD_AGE_S``.
        """
        summed_at = self._summed_at
        if summed_at is None or not 0 <= now - summed_at < SUM_TTL_S:
            self._sums = self._add_up(now - MAX_PEER_LOAD_AGE_S)
            self._summed_at = now
        return ServerLoad(server, *self._sums.get(server, (0, 0)))

    def _add_up(self, min_received_at: float) -> dict[str, list[int]]:
        """Add up the loads of reports that arrived after a time.

        :returns: running requests and tokens to prefill, by server. Lists,
            since sums of ``ServerLoad`` take several times as long.
        """
        sums: dict[str, list[int]] = {}
        for peer in self._received.values():
            if peer.received_at > min_received_at:
                _add_all(sums, peer.by_server)
        return sums


def _add_all(
    sums: dict[str, list[int]],
    report: dict[str, ServerLoad],
) -> None:
    for server, load in report.items():
        known = sums.setdefault(server, [0, 0])
        known[0] += load.running
        known[1] += load.unread


def _describe(peer: str, report: _PeerReport, now: float) -> RelayedLoads:
    age = round(now - report.received_at, 3)
    return RelayedLoads(peer, age, tuple(report.by_server.values()))


def _get_received_at(report: tuple[str, _PeerReport]) -> float:
    return report[1].received_at
