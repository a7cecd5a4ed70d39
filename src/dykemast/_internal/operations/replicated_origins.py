"""Origins of streams that other routers keep replicas of."""

from collections.abc import Iterable

from dykemast._internal.models.streams import (
    UNCERTAIN,
    OriginEntry,
    ReplicatedStream,
    StreamRecord,
)
from dykemast._internal.operations.stream_origins import (
    EXTRA_S,
    StreamOrigins,
)


def keep_replica(
    origins: StreamOrigins, stream: ReplicatedStream, now: float
) -> None:
    """Record the origin of a stream that another router serves.

    :param origins: the origins that this router knows.
    :param stream: the stream.
    :param now: seconds on the monotonic clock.
    """
    known = origins.entries.get(stream.key)
    if known and known.is_own and known.server and stream.origin != UNCERTAIN:
        # Its caller has taken it up here, which the other router has not heard.
        return
    expires_at = now + stream.lasts_s
    origins.record(
        stream.key, stream.origin, expires_at, stream.server, is_own=False
    )


def keep_found(
    origins: StreamOrigins, stream: ReplicatedStream, now: float
) -> None:
    """Record the origin of a stream that another router returned.

    :param origins: the origins that this router knows.
    :param stream: the stream.
    :param now: seconds on the monotonic clock.
    """
    origins.merge(
        [StreamRecord(stream.key, stream.origin)], now + stream.lasts_s
    )
    found = origins.found[stream.key]
    origins.found[stream.key] = found._replace(server=stream.server)


def describe_replica(
    origins: StreamOrigins, key: str, now: float
) -> ReplicatedStream | None:
    """Describe a stream for the routers that keep a replica of it.

    :param origins: the origins that this router knows.
    :param key: key of the stream.
    :param now: seconds on the monotonic clock.
    :returns: the stream; None if its origin is not known.
    """
    entry = origins.entries.get(key)
    return _describe(key, entry, now) if entry else None


def list_unreplicated(
    origins: StreamOrigins, now: float
) -> list[ReplicatedStream]:
    """List the streams of this router that no other router knows.

    :param origins: the origins that this router knows.
    :param now: seconds on the monotonic clock.
    :returns: the streams.
    """
    return [
        _describe(key, entry, now)
        for key, entry in origins.entries.items()
        if entry.needs_replicas()
    ]


def must_write(origins: StreamOrigins) -> bool:
    """Tell whether there are streams that no other router writes to the store.

    :param origins: the origins that this router knows.
    :returns: whether there are: those of which it keeps a replica, and its own
        that have none.
    """
    return any(not entry.is_replicated for entry in origins.entries.values())


def mark_replicated(origins: StreamOrigins, keys: Iterable[str]) -> None:
    """Record that other routers have replicas of streams.

    :param origins: the origins that this router knows.
    :param keys: keys of the streams.
    """
    for key in keys:
        entry = origins.entries.get(key)
        if entry:
            origins.entries[key] = entry._replace(is_replicated=True)


def _describe(key: str, entry: OriginEntry, now: float) -> ReplicatedStream:
    lasts_s = max(0, entry.expires_at - EXTRA_S - now)
    return ReplicatedStream(key, entry.origin, entry.server, lasts_s)
