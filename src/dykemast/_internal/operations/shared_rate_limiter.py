"""Rate limit of one server that all routers keep without communication.

A server that has just started has no load, so all routers would choose it at
the same time and overload it. A limit that a server sends applies to all
routers together, and each knows only its own requests. Therefore only a few
routers send to such a server, chosen by rendezvous hashing from the list of
routers, each at an interval that keeps the sum within the rate in any second.
With an equal share for every router, each could save up one request, and all
could send them at the same time.
"""

import math
from collections.abc import Iterable
from typing import Final, NamedTuple

from dykemast._internal.operations.rendezvous import rank_owners

#: Window of the rate limit, with a margin for clocks that run fast.
WINDOW_S: Final = 1.05
#: Time without a known response of a server after which the next router in rank
#: sends one request: the chosen routers may be gone, and only a response ends a
#: limit. Far longer than gossip takes, so that it is rare otherwise.
SILENCE_S: Final = 5.0


class Share(NamedTuple):
    """Share of one router in the rate limit of a server.

    :param routers: names of all listed routers.
    :param rate: limit of the server in requests per second.
    :param standby_rank: distance in rank from the last router that sends; 0 or
        less for a router that sends.
    :param interval: seconds between two requests of this router.
    """

    routers: frozenset[str]
    rate: float
    standby_rank: int
    interval: float


class RateSplit(NamedTuple):
    """Split of a rate limit among the first routers in rank.

    :param routers: number of routers that send.
    :param interval: seconds between two requests of one router.
    """

    routers: int
    interval: float


def split_rate(routers: int, rate: float) -> RateSplit:
    """Split a rate limit so that the largest part of it is usable.

    :param routers: number of listed routers.
    :param rate: limit of the server in requests per second.
    :returns: the split.
    """
    most = max(1, min(routers, math.floor(rate)))
    count = max(
        range(1, most + 1),
        key=lambda number: (number * math.floor(rate / number), number),
    )
    each = math.floor(rate / count)
    return RateSplit(count, WINDOW_S / (each or rate))


class SlotShare(NamedTuple):
    """Share of one router in the requests that a server runs at a time.

    :param routers: names of all listed routers.
    :param slots: requests that the server runs at a time.
    :param share: requests that this router may send at a time.
    """

    routers: frozenset[str]
    slots: int
    share: int


class SharedRateLimiter:
    """Share of one router in the rate limits of servers.

    :param own: name of this router.
    :param started_at: seconds on the monotonic clock at which it started.
    """

    def __init__(self, own: str, started_at: float) -> None:
        """Assume that an earlier process sent requests until the start."""
        self._own = own
        self._started_at = started_at
        self._shares: dict[str, Share] = {}
        self._sent_at: dict[str, float] = {}
        self._slot_shares: dict[str, SlotShare] = {}

    def compute_wait(
        self,
        server: str,
        routers: frozenset[str],
        rate: float,
        now: float,
        answered_at: float = math.inf,
    ) -> float:
        """Compute the time until this router may send to a server.

        :param server: name of its incarnation.
        :param routers: names of all listed routers.
        :param rate: limit of the server in requests per second.
        :param now: seconds on the monotonic clock.
        :param answered_at: seconds on the monotonic clock of the last known
            response to any router; infinite if no response is needed.
        :returns: seconds; 0 if this router may send now, infinite if only
            other routers may send.
        """
        share = self._find_share(server, routers, rate)
        sent_at = self._sent_at.get(server, self._started_at)
        wait = max(0, sent_at + share.interval - now)
        probe_at = answered_at + share.standby_rank * SILENCE_S
        return math.inf if share.standby_rank > 0 and now < probe_at else wait

    def count_share(
        self, server: str, routers: frozenset[str], slots: int
    ) -> int:
        """Count the requests that this router may send to a server at a time.

        :param server: name of its incarnation.
        :param routers: names of all listed routers.
        :param slots: requests that the server runs at a time.
        :returns: its share; the shares of all routers add up to the slots.
        """
        known = self._slot_shares.get(server)
        if known is None or (known.routers, known.slots) != (routers, slots):
            rank = rank_owners(server, routers).index(self._own)
            # The remainder goes to the first in rank.
            remainder = slots % len(routers)
            share = slots // len(routers) + int(rank < remainder)
            known = SlotShare(routers, slots, share)
            self._slot_shares[server] = known
        return known.share

    def record_sent(self, server: str, now: float) -> None:
        """Record that this router sends a request.

        :param server: name of its incarnation.
        :param now: seconds on the monotonic clock.
        """
        self._sent_at[server] = now

    def keep_only(self, servers: Iterable[str]) -> None:
        """Drop servers that are not listed any more.

        :param servers: names of the listed incarnations.
        """
        kept = set(servers)
        for known in (self._shares, self._sent_at, self._slot_shares):
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
            split = split_rate(len(routers), rate)
            rank = rank_owners(server, routers).index(self._own)
            standby_rank = 1 + rank - split.routers
            share = Share(routers, rate, standby_rank, split.interval)
            self._shares[server] = share
        return share
