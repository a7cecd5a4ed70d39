"""Where streams began, and the records of it."""

import math
from typing import Final, NamedTuple


class Origin(NamedTuple):
    """Where a stream began.

    :param service: service of its server.
    :param version: version of the server's software.
    """

    service: str
    version: str


#: Origin of a stream of which it is no longer certain where it began. It counts
#: more than an origin that others know, who may not have heard of that yet.
UNCERTAIN: Final = Origin('', '')


class Writers(NamedTuple):
    """A choice of the routers that write the streams of all.

    :param names: their names.
    :param chosen_at: seconds on the monotonic clock.
    """

    names: tuple[str, ...] = ()
    chosen_at: float = -math.inf


class StreamRecord(NamedTuple):
    """The origin of one stream, for the store and for other routers.

    :param key: key of the stream.
    :param origin: where it began.
    """

    key: str
    origin: Origin


class ReplicatedStream(NamedTuple):
    """The origin of one stream, for the routers that keep a replica of it.

    :param key: key of the stream.
    :param origin: where it began.
    :param server: incarnation of the server that writes it.
    :param lasts_s: seconds for which its caller may take it up.
    """

    key: str
    origin: Origin
    server: str
    lasts_s: float


class StreamBatch(NamedTuple):
    """What a router tells one that keeps replicas for it.

    :param streams: streams that began, or go on at another server.
    :param ended: keys of streams whose last event was delivered.
    """

    streams: list[ReplicatedStream]
    ended: list[str]


class OriginEntry(NamedTuple):
    """What a router knows of the origin of a stream.

    :param origin: where it began.
    :param expires_at: seconds on the monotonic clock until which it is kept.
    :param server: incarnation that writes the stream now; empty when none of
        this router, or of one that has a replica here.
    :param is_own: whether this router serves the stream.
    :param is_replicated: whether other routers have a replica of it, which
        they write to the store.
    """

    origin: Origin
    expires_at: float
    server: str = ''
    is_own: bool = True
    is_replicated: bool = False

    def is_same(self, other: 'OriginEntry') -> bool:
        """Tell whether other routers know the same by a replica of either.

        :param other: a later entry of the stream.
        :returns: whether they do.
        """
        mine = (self.origin, self.server, self.is_own)
        return mine == (other.origin, other.server, other.is_own)

    def needs_replicas(self) -> bool:
        """Tell whether it has to be replicated.

        :returns: whether they have: what runs here, or is no longer certain.
        """
        if self.is_replicated or not self.is_own:
            return False
        return bool(self.server) or self.origin == UNCERTAIN
