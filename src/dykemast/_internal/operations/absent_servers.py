"""Backend servers that were found absent, here or by other routers."""

from collections.abc import Iterable

from dykemast._internal.models.gossip import AbsentServer


class AbsentServers:
    """Servers that were not at their addresses a moment ago.

    Their entries go only after some seconds of silence. A router of a large
    fleet meets each server seldom, so what one has found helps all.
    """

    def __init__(self) -> None:
        """Know of none."""
        self._until: dict[str, float] = {}

    def record(self, server: str, now: float, seconds: float) -> None:
        """Take note that a server was absent.

        :param server: its id.
        :param now: seconds.
        :param seconds: for how long this is believed.
        """
        known = self._until.get(server, 0)
        self._until[server] = max(known, now + seconds)

    def merge(self, told: Iterable[AbsentServer], now: float) -> None:
        """Take what a peer tells.

        :param told: servers, and for how long it believes that.
        :param now: seconds.
        """
        for one in told:
            self.record(one.server, now, one.seconds)

    def export(self, now: float) -> tuple[AbsentServer, ...]:
        """Tell which servers are believed to be absent.

        :param now: seconds.
        :returns: the servers, and for how long still.
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
        """Tell whether a server is believed to be absent.

        :param server: its id.
        :param now: seconds.
        :returns: whether it is.
        """
        return self._until.get(server, 0) > now
