"""Requests that other routers have at backend servers, as they told."""

from typing import Final, NamedTuple

from dykemast._internal.models.news import ServerLoad

#: Seconds after which what a peer told of its requests is forgotten: ten
#: rounds of news, and about as long as most requests take.
PEER_LOAD_AGE: Final = 2.0


class _Told(NamedTuple):
    at: float
    by_server: dict[str, ServerLoad]


class PeerLoads:
    """Requests of other routers, by the last news of each."""

    def __init__(self) -> None:
        """Know nothing yet."""
        self._told: dict[str, _Told] = {}

    def take(
        self,
        peer: str,
        loads: tuple[ServerLoad, ...],
        now: float,
    ) -> None:
        """Take what a peer tells.

        :param peer: its instance.
        :param loads: its requests by backend server.
        :param now: seconds.
        """
        self._told[peer] = _Told(now, {load.server: load for load in loads})

    def measure(self, server: str, now: float) -> ServerLoad:
        """Add up the peers' requests at one server.

        :param server: its id.
        :param now: seconds.
        :returns: the load, of peers that were heard of lately.
        """
        limit = now - PEER_LOAD_AGE
        told = [
            peer.by_server[server]
            for peer in self._told.values()
            if peer.at > limit and server in peer.by_server
        ]
        return ServerLoad(
            server,
            sum(load.running for load in told),
            sum(load.unread for load in told),
        )
