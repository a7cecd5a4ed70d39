"""Rate limits that servers send in their responses, to any router.

A limit ends with a response that does not repeat it. Only routers that send to
the server receive one, so the end of a limit is gossiped like the limit itself.
The newest response counts, whichever router received it.
"""

from collections.abc import Collection, Iterable
from typing import Final, NamedTuple

from dykemast._internal.models.backend import ServerLimit

#: Rate that stands for the end of a limit.
NO_LIMIT: Final = 0
#: Time for which the end of a limit is gossiped: many rounds.
END_REPORT_TIME_S: Final = 10.0
#: Time for which the limit of an unlisted server is kept: entries expire while
#: the store is unavailable, and return.
UNLISTED_TTL_S: Final = 60.0


class KnownLimit(NamedTuple):
    """Limit in the newest known response of a server.

    :param rate: requests per second; ``NO_LIMIT`` for no limit.
    :param answered_at: seconds on the monotonic clock of the response.
    :param since: seconds on the monotonic clock since which this router knows
        of a limit without interruption.
    """

    rate: float
    answered_at: float
    since: float


class ServerLimits:
    """Rate limits by server incarnation."""

    def __init__(self) -> None:
        """Start without limits."""
        self._known: dict[str, KnownLimit] = {}

    def record(self, server: str, rate: float, now: float) -> None:
        """Record the limit, or its absence, in a response.

        :param server: name of the server incarnation.
        :param rate: requests per second; ``NO_LIMIT`` if it has no limit.
        :param now: seconds on the monotonic clock.
        """
        if rate or server in self._known:
            self._store(server, rate, now, now)

    def merge(self, received: Iterable[ServerLimit], now: float) -> None:
        """Merge the limits of a peer.

        :param received: limits that the peer exported.
        :param now: seconds on the monotonic clock.
        """
        for one in received:
            known = self._known.get(one.server)
            answered_at = now - one.age
            if known is None or known.answered_at < answered_at:
                self._store(one.server, one.rate, answered_at, now)

    def export(self, now: float) -> tuple[ServerLimit, ...]:
        """Export active and recently ended limits, for peers.

        :param now: seconds on the monotonic clock.
        :returns: the limits.
        """
        return tuple(
            ServerLimit(server, known.rate, round(now - known.answered_at, 3))
            for server, known in self._known.items()
            if known.rate or now - known.answered_at < END_REPORT_TIME_S
        )

    def find(self, server: str) -> KnownLimit | None:
        """Find the active limit of a server.

        :param server: name of its incarnation.
        :returns: the limit; None if there is none.
        """
        known = self._known.get(server)
        return known if known and known.rate else None

    def keep_only(self, servers: Collection[str], now: float) -> None:
        """Drop limits of servers that are not listed any more.

        :param servers: names of the listed incarnations.
        :param now: seconds on the monotonic clock.
        """
        for server, known in tuple(self._known.items()):
            if (
                server not in servers
                and now - known.answered_at > UNLISTED_TTL_S
            ):
                self._known.pop(server)

    def _store(
        self,
        server: str,
        rate: float,
        answered_at: float,
        now: float,
    ) -> None:
        previous = self.find(server)
        since = previous.since if previous else now
        self._known[server] = KnownLimit(rate, answered_at, since)
