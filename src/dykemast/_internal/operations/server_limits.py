"""Limits that servers name in their answers, here or to other routers.

A limit is over when an answer says nothing of it any more. Only who sends to
the server gets one, so that the end is told to others like the limit itself;
the newest answer counts, whoever got it.
"""

from collections.abc import Collection, Iterable
from typing import Final, NamedTuple

from dykemast._internal.models.backend import ServerLimit

#: Rate of a server that names no limit any more.
NO_LIMIT: Final = 0
#: Seconds for which the end of a limit is told: many rounds of news.
END_TIME: Final = 10.0
#: Seconds for which the limit of a server is kept that is not listed: entries
#: lapse while the store is away, and come back.
KEEP_TIME: Final = 60.0


class KnownLimit(NamedTuple):
    """What the newest answer of a server that is known of said.

    :param rate: requests a second; ``NO_LIMIT`` for any number.
    :param answered_at: seconds at which the answer came.
    :param since: seconds since when this router knows of a limit.
    """

    rate: float
    answered_at: float
    since: float


class ServerLimits:
    """Limits by server, as one router knows them."""

    def __init__(self) -> None:
        """Know of none."""
        self._known: dict[str, KnownLimit] = {}

    def record(self, server: str, rate: float, now: float) -> None:
        """Take note of an answer.

        :param server: name of the server's start.
        :param rate: requests a second that it named; ``NO_LIMIT`` for none.
        :param now: seconds.
        """
        if rate or server in self._known:
            self._learn(server, rate, now, now)

    def merge(self, told: Iterable[ServerLimit], now: float) -> None:
        """Take what a peer tells.

        :param told: limits that it knows.
        :param now: seconds.
        """
        for one in told:
            known = self._known.get(one.server)
            answered_at = now - one.age
            if known is None or known.answered_at < answered_at:
                self._learn(one.server, one.rate, answered_at, now)

    def export(self, now: float) -> tuple[ServerLimit, ...]:
        """Tell the limits that are in force, and those that ended lately.

        :param now: seconds.
        :returns: the limits.
        """
        return tuple(
            ServerLimit(server, known.rate, round(now - known.answered_at, 3))
            for server, known in self._known.items()
            if known.rate or now - known.answered_at < END_TIME
        )

    def find(self, server: str) -> KnownLimit | None:
        """Find the limit of a server.

        :param server: name of its start.
        :returns: the limit in force; None where there is none.
        """
        known = self._known.get(server)
        return known if known and known.rate else None

    def keep_only(self, servers: Collection[str], now: float) -> None:
        """Forget servers that are gone.

        :param servers: names of those that are listed.
        :param now: seconds.
        """
        for server, known in tuple(self._known.items()):
            if server not in servers and now - known.answered_at > KEEP_TIME:
                self._known.pop(server)

    def _learn(
        self,
        server: str,
        rate: float,
        answered_at: float,
        now: float,
    ) -> None:
        before = self.find(server)
        since = before.since if before else now
        self._known[server] = KnownLimit(rate, answered_at, since)
