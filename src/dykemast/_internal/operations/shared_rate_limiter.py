"""What all routers together send to one server, without asking each other.

A server that has just started is empty, so that it looks like the best choice
to each router at the same moment, and it falls over; one that names a limit
means all routers by it, and each knows only what it sent itself. A few
routers, the same ones wherever the list of routers is the same, may send to
such a server, each so seldom that all of them keep to its rate in any second.
An equal share for every router would let them save up one request each, and
send these at once.
"""

import math
from collections.abc import Iterable
from typing import Final, NamedTuple

from dykemast._internal.operations.rendezvous import rank_owners

#: Seconds in which requests to a server are counted, with what a clock that
#: runs a little fast adds.
WINDOW: Final = 1.05
#: Seconds without word of a server after which the next router in rank takes
#: a turn: those that should may be gone, and only an answer ends a limit. Far
#: longer than news take, so that whoever hears of others stays silent.
UNHEARD_TIME: Final = 5.0


class Share(NamedTuple):
    """Part of one router in what a server bears.

    :param routers: all that are listed.
    :param rate: requests a second that the server bears.
    :param behind: routers in rank from the last that sends to this one; 0 or
        less for one that sends.
    :param interval: seconds between two of its requests.
    """

    routers: frozenset[str]
    rate: float
    behind: int
    interval: float


class Turns(NamedTuple):
    """Which routers send to a server, and how often.

    :param routers: how many of the first in rank.
    :param interval: seconds between two requests of one of them.
    """

    routers: int
    interval: float


def share_rate(routers: int, rate: float) -> Turns:
    """Share what a server bears among as many as make the most of it.

    :param routers: how many are listed.
    :param rate: requests a second that the server bears.
    :returns: the turns.
    """
    most = max(1, min(routers, math.floor(rate)))
    count = max(
        range(1, most + 1),
        key=lambda number: (number * math.floor(rate / number), number),
    )
    each = math.floor(rate / count)
    return Turns(count, WINDOW / (each or rate))


class SharedRateLimiter:
    """What one router sends to servers that bear a rate.

    :param own: name of the router.
    :param started_at: seconds at which it started.
    """

    def __init__(self, own: str, started_at: float) -> None:
        """Have sent nothing; the process before on this instance may have."""
        self._own = own
        self._started_at = started_at
        self._shares: dict[str, Share] = {}
        self._sent_at: dict[str, float] = {}

    def compute_wait(
        self,
        server: str,
        routers: frozenset[str],
        rate: float,
        now: float,
        heard_at: float = math.inf,
    ) -> float:
        """Measure for how long a server gets nothing from this router.

        :param server: name of its start.
        :param routers: names of all routers that are listed.
        :param rate: requests a second that it bears.
        :param now: seconds.
        :param heard_at: seconds at which any router last had an answer of it,
            as far as is known; infinite where nobody needs another one.
        :returns: seconds; 0 when it may get a request, infinite when it may
            not from this router.
        """
        share = self._find_share(server, routers, rate)
        sent_at = self._sent_at.get(server, self._started_at)
        wait = max(0, sent_at + share.interval - now)
        asks_at = heard_at + share.behind * UNHEARD_TIME
        return math.inf if share.behind > 0 and now < asks_at else wait

    def record_sent(self, server: str, now: float) -> None:
        """Take note that a server gets a request.

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

    def _find_share(
        self,
        server: str,
        routers: frozenset[str],
        rate: float,
    ) -> Share:
        share = self._shares.get(server)
        if share is None or (share.routers, share.rate) != (routers, rate):
            turns = share_rate(len(routers), rate)
            place = rank_owners(server, routers).index(self._own)
            behind = 1 + place - turns.routers
            share = Share(routers, rate, behind, turns.interval)
            self._shares[server] = share
        return share
