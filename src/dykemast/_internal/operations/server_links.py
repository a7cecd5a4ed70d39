"""Links of this router to backend servers.

A server that this router cannot connect to, but a peer can, is up: the link to
it is broken. If that holds for several servers of a service, and for none the
opposite, this router is likely partitioned from all of them.
"""

import asyncio
import math
from collections.abc import Collection
from typing import Any, Final, NamedTuple

from dykemast._internal.models.backend import BackendServer

#: Servers of a service with a broken link from which on this router counts as
#: isolated from the service.
MIN_BROKEN_LINKS: Final = 2


class BrokenLink(NamedTuple):
    """A broken link.

    :param service: service of the server.
    :param at: seconds on the monotonic clock at which it broke.
    """

    service: str
    at: float


class ServerLinks:
    """Broken links of this router."""

    def __init__(self) -> None:
        """Start with all links intact."""
        #: Broken links by name of the server's incarnation.
        self.broken: dict[str, BrokenLink] = {}
        #: Times since which this router is isolated from a service.
        self.isolated_since: dict[str, float] = {}
        #: Names of servers that answered after a send to them had broken.
        self.suspects: set[str] = set()
        #: Set while there are broken links, or suspects.
        self.pending = asyncio.Event()
        self._connected_at: dict[str, float] = {}

    def record_broken(
        self, server: BackendServer, now: float, listed: int
    ) -> bool:
        """Record that only a peer could connect to a server.

        :param server: the server.
        :param now: seconds on the monotonic clock.
        :param listed: number of listed servers of its service.
        :returns: whether this router is isolated from the service since now.
        """
        service = server.service
        self.broken[server.name] = BrokenLink(service, now)
        self.pending.set()
        if service in self.isolated_since:
            return False
        # A router that has no link to one service likely has none at all.
        needed = 1 if self.isolated_since else min(MIN_BROKEN_LINKS, listed)
        if self.count_recent(service) < needed:
            return False
        self.isolated_since[service] = now
        return True

    def record_connected(
        self, server: BackendServer, now: float
    ) -> float | None:
        """Record a direct connection to a server.

        :param server: the server.
        :param now: seconds on the monotonic clock.
        :returns: time since which this router was isolated from its service
            until now; None if it was not.
        """
        self.broken.pop(server.name, None)
        self._connected_at[server.service] = now
        return self.isolated_since.pop(server.service, None)

    def is_broken(self, server: BackendServer) -> bool:
        """Check whether the link to a server is likely broken.

        :param server: the server.
        :returns: whether requests should not use it.
        """
        return server.service in self.isolated_since or (
            server.name in self.broken
        )

    def count_recent(self, service: str) -> int:
        """Count the links that broke after the last direct connection.

        :param service: service of the servers.
        :returns: their number.
        """
        connected_at = self._connected_at.get(service, -math.inf)
        return sum(
            link.service == service and link.at > connected_at
            for link in self.broken.values()
        )

    def describe(self, service: str, now: float) -> dict[str, Any]:
        """Describe the broken links to a service, for log lines.

        :param service: the service.
        :param now: seconds on the monotonic clock.
        :returns: since when this router is isolated, in seconds, and the
            servers that only a peer could connect to; empty without any.
        """
        servers = [
            name
            for name, link in self.broken.items()
            if link.service == service
        ]
        since = self.isolated_since.get(service, now)
        lost_s = round(now - since, 3)
        return (
            {'links_lost_s': lost_s, 'links_broken': servers} if servers else {}
        )

    def prune(self, servers: Collection[str]) -> None:
        """Drop the broken links to servers that are not listed any more.

        :param servers: names of the listed servers.
        """
        for gone in self.broken.keys() - set(servers):
            self.broken.pop(gone)
        self.suspects.intersection_update(servers)
        if not (self.broken or self.isolated_since or self.suspects):
            self.pending.clear()
