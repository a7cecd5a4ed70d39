"""Versions of the backend servers at which streams began.

Servers of one service may run several versions of their software, and a stream
may go on only at the version that began it. The caller names the request that
brought the first event; this table tells its version, to any router.
"""

import collections
import hashlib
from collections.abc import Iterable
from typing import Final

from dykemast._internal.models.streams import (
    UNCERTAIN,
    Origin,
    OriginEntry,
    StreamRecord,
)

#: Streams that one router keeps: its own, and its part of those of all others.
MAX_ORIGINS: Final = 16_384
#: Seconds for which a stream is kept after the deadline of its request, and
#: after its end: the caller may not have received the last events.
EXTRA_S: Final = 5.0
#: Least time for which callers may take up a stream; a router's list of servers
#: may be some seconds old.
MIN_STREAM_TIME_S: Final = 60.0
#: The same in timeouts of its route.
TIMEOUTS: Final = 2
#: With 2^72 values, no caller can find a request id whose key is that of
#: another stream.
KEY_BYTES: Final = 9


def compute_stream_time(timeouts: Iterable[float]) -> float:
    """Compute for how long callers may take up a stream.

    :param timeouts: timeouts of the routes, in seconds.
    :returns: seconds from its beginning, with a margin.
    """
    return max([MIN_STREAM_TIME_S, *(TIMEOUTS * one for one in timeouts)])


def make_stream_key(workspace: str, request_id: str) -> str:
    """Compute the key of a stream.

    A caller that names a request of another workspace finds nothing.

    :param workspace: name of the workspace; empty on a public route.
    :param request_id: id of the request that brought the first event.
    :returns: 18 hexadecimal digits.
    """
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for text in (workspace, request_id):
        encoded = text.encode(errors='surrogateescape')
        digest.update(len(encoded).to_bytes(KEY_BYTES))
        digest.update(encoded)
    return digest.hexdigest()


#: What is known of each stream, by its key.
Entries = collections.OrderedDict[str, OriginEntry]


class StreamOrigins:
    """Origins of recent streams, of this router and of others."""

    def __init__(self) -> None:
        """Create an empty table."""
        #: Those of this router and those that it keeps replicas of.
        self.entries: Entries = collections.OrderedDict()
        #: Those that it found elsewhere.
        self.found: Entries = collections.OrderedDict()
        #: Grows with each new origin, so that its readers notice one.
        self.changes = 0
        #: Its value when the origins were last written to the store.
        self.written_changes = 0

    def find(self, key: str) -> Origin | None:
        """Find the origin of a stream.

        :param key: key of the stream.
        :returns: its origin; None if it is not known, or not certain.
        """
        known = [
            table[key].origin
            for table in (self.entries, self.found)
            if key in table
        ]
        return known[0] if known and UNCERTAIN not in known else None

    def record(
        self,
        key: str,
        origin: Origin,
        expires_at: float,
        server: str = '',
        *,
        is_own: bool = True,
    ) -> None:
        """Record the origin of a stream.

        A later one replaces it, unless it is not certain any more.

        :param key: key of the stream.
        :param origin: where it began.
        :param expires_at: seconds on the monotonic clock until which its caller
            may take it up.
        :param server: incarnation of the server that writes it; empty when
            this router receives no events of it.
        :param is_own: whether this router serves the stream.
        """
        before = self.entries.get(key)
        if before and before.origin == UNCERTAIN:
            return
        self.entries.pop(key, None)
        entry = OriginEntry(origin, expires_at + EXTRA_S, server, is_own)
        if before and before.is_same(entry):
            entry = entry._replace(is_replicated=before.is_replicated)
        _put(self.entries, key, entry)
        if before is None or before.origin != origin:
            self.changes += 1

    def end_send(self, key: str, now: float, *, whole: bool) -> bool:
        """Record that no server writes a stream to this router any more.

        :param key: key of the stream.
        :param now: seconds on the monotonic clock.
        :param whole: whether its last event was delivered.
        :returns: whether other routers have replicas that may expire as well.
        """
        entry = self.entries.get(key)
        if entry is None:
            return False
        limit = now + EXTRA_S if whole else entry.expires_at
        self.entries[key] = entry._replace(
            server='', expires_at=min(entry.expires_at, limit)
        )
        return whole and entry.is_replicated

    def forget_server(self, server: str) -> None:
        """Record that the origins of the streams of a server are not certain.

        Its entry changed while they run, so that their version is not known:
        the process that writes them may have started before the entry changed.

        :param server: incarnation of the server.
        """
        for table in (self.entries, self.found):
            uncertain = [
                key for key, one in table.items() if one.server == server
            ]
            for key in uncertain:
                table[key] = table[key]._replace(
                    origin=UNCERTAIN, server='', is_replicated=False
                )
            self.changes += len(uncertain)

    def merge(
        self,
        records: Iterable[StreamRecord],
        expires_at: float,
        *,
        is_exported: bool = False,
    ) -> None:
        """Record origins that another process knows.

        :param records: the origins.
        :param expires_at: seconds on the monotonic clock until which their
            callers may take them up.
        :param is_exported: whether this router writes them to the store. If
            each router wrote what it has read there, no record would expire.
        """
        table = self.entries if is_exported else self.found
        for key, origin in records:
            if key not in table or origin == UNCERTAIN:
                _put(table, key, OriginEntry(origin, expires_at + EXTRA_S))
                self.changes += is_exported

    def export(self, now: float) -> list[StreamRecord]:
        """Export the origins that this router writes, and drop expired ones.

        :param now: seconds on the monotonic clock.
        :returns: the origins.
        """
        for table in (self.entries, self.found):
            _drop_expired(table, now)
        return [
            StreamRecord(key, entry.origin)
            for key, entry in self.entries.items()
        ]


class VersionHistory:
    """Versions that each service has or had, and when they were last listed."""

    def __init__(self) -> None:
        """Create an empty history."""
        self._seen_at: dict[str, dict[str, float]] = {}
        #: Whether the versions before the start of this process are known.
        self.is_complete = False

    def record(self, service: str, versions: Iterable[str], now: float) -> None:
        """Record versions that a service has now.

        :param service: the service.
        :param versions: versions of its servers.
        :param now: seconds on the monotonic clock.
        """
        seen_at = self._seen_at.setdefault(service, {})
        for version in versions:
            seen_at[version] = now

    def list_services(self) -> list[str]:
        """List the services with a known version.

        :returns: their names.
        """
        return list(self._seen_at)

    def list_versions(self, service: str, since: float) -> list[str]:
        """List the versions that a service has or had lately, and drop others.

        :param service: the service.
        :param since: seconds on the monotonic clock.
        :returns: the versions that were listed after that, sorted.
        """
        seen_at = self._seen_at.get(service, {})
        expired = [one for one in seen_at if seen_at[one] <= since]
        for version in expired:
            seen_at.pop(version)
        return sorted(seen_at)


def _put(entries: Entries, key: str, entry: OriginEntry) -> None:
    entries[key] = entry
    if len(entries) > MAX_ORIGINS:
        entries.popitem(last=False)


def _drop_expired(entries: Entries, now: float) -> None:
    expired = [key for key, entry in entries.items() if entry.expires_at < now]
    for key in expired:
        entries.pop(key)
