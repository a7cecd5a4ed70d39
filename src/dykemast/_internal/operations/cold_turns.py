"""What all routers together send to a cold server, without asking each other.

A server that has just started is empty, so that it looks like the best choice
to each router at the same moment, and it falls over. A few routers, the same
ones wherever the list of routers is the same, may send to it, each so seldom
that all of them keep to its rate in any second. An equal share for every
router would let them save up one request each, and send these at once.
"""

import math
from collections.abc import Iterable
from typing import Final, NamedTuple

from dykemast._internal.operations.rendezvous import rank_keepers

#: Seconds in which requests to a cold server are counted, with what a clock
#: that runs a little fast adds.
WINDOW: Final = 1.05


class ColdShare(NamedTuple):
    """What one router may send to a cold server.

    :param routers: that share the server.
    :param interval: seconds between two requests; infinite for none.
    """

    routers: frozenset[str]
    interval: float


def choose_interval(
    server: str,
    own: str,
    routers: Iterable[str],
    rate: float,
) -> float:
    """Choose how often a router may send to a cold server.

    :param server: name of the server's start.
    :param own: name of the router.
    :param routers: names of all that are listed, this one among them.
    :param rate: requests a second that the server bears.
    :returns: seconds between two requests; infinite when others send there.
    """
    ranked = rank_keepers(server, routers)
    count = _choose_count(len(ranked), rate)
    if own not in ranked[:count]:
        return math.inf
    each = math.floor(rate / count)
    return WINDOW / (each or rate)


def _choose_count(routers: int, rate: float) -> int:
    """Choose how many send: as many as make the most of the rate."""
    most = max(1, min(routers, math.floor(rate)))
    return max(
        range(1, most + 1),
        key=lambda count: (count * math.floor(rate / count), count),
    )


class ColdTurns:
    """What one router sends to cold servers.

    :param own: name of the router.
    :param started_at: seconds at which it started.
    """

    def __init__(self, own: str, started_at: float) -> None:
        """Have sent nothing; the process before on this instance may have."""
        self._own = own
        self._started_at = started_at
        self._shares: dict[str, ColdShare] = {}
        self._sent_at: dict[str, float] = {}

    def measure_wait(
        self,
        server: str,
        routers: frozenset[str],
        rate: float,
        now: float,
    ) -> float:
        """Measure for how long a cold server gets nothing from this router.

        :param server: name of its start.
        :param routers: names of all routers that are listed.
        :param rate: requests a second that it bears.
        :param now: seconds.
        :returns: seconds; 0 when it may get a request, infinite when it may
            not from this router.
        """
        share = self._shares.get(server)
        if share is None or share.routers != routers:
            interval = choose_interval(server, self._own, routers, rate)
            share = ColdShare(routers, interval)
            self._shares[server] = share
        sent_at = self._sent_at.get(server, self._started_at)
        return max(0, sent_at + share.interval - now)

    def note_sent(self, server: str, now: float) -> None:
        """Take note that a cold server gets a request.

        :param server: name of its start.
        :param now: seconds.
        """
        self._sent_at[server] = now

    def keep_only(self, servers: Iterable[str]) -> None:
        """Forget servers that are gone.

        :param servers: names of those that are not.
        """
        kept = set(servers)
        for known in (self._shares, self._sent_at):
            for gone in known.keys() - kept:
                known.pop(gone)
