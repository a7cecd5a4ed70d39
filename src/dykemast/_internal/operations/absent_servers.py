"""Backend servers that refused connections, here or at other routers."""

from collections.abc import Iterable

from dykemast._internal.models.gossip import AbsentServer


class AbsentServers:
    """Servers at whose addresses nothing listened a moment ago.

    The store removes an entry only after several missed heartbeats. In a
    large fleet a router seldom connects to one server, so routers share this.
    """

    def __init__(self) -> None:
        """Start without absent servers."""
        self._until: dict[str, float] = {}

    def record(self, server: str, now: float, seconds: float) -> None:
        """Record that a server was absent.

        :param server: its id.
        :param now: seconds on the monotonic clock.
        :param seconds: how long the server counts as absent.
        """
        known = self._until.get(server, 0)
        self._until[server] = max(known, now + seconds)

    def merge(self, reported: Iterable[AbsentServer], now: float) -> None:
        """Merge the absent servers that a peer reported.

        :param reported: servers, each with the remaining seconds.
        :param now: seconds on the monotonic clock.
        """
        for one in reported:
            self.record(one.server, now, one.seconds)

    def export(self, now: float) -> tuple[AbsentServer, ...]:
        """Export the servers that count as absent, for peers.

        :param now: seconds on the monotonic clock.
        :returns: the servers, each with the remaining seconds.
        """
        self._until = {
            server: until
            for server, until in self._until.items()
            if until > now
        }
        return tuple(
            AbsentServer(server, round(until - now, 3))
            for server, until in self._until.items()
        )

    def is_absent(self, server: str, now: float) -> bool:
        """Check whether a server counts as absent.

        :param server: its id.
        :param now: seconds on the monotonic clock.
        :returns: whether it is.
        """
        return self._until.get(server, 0) > now
