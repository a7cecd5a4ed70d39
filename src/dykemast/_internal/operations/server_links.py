"""Links of this router to backend servers.

A server that this router cannot connect to, but a peer can, is up: the link to
it is broken. If that holds for several servers, and for none the opposite, this
router is likely partitioned from all of them.
"""

import asyncio
from collections.abc import Collection
from typing import Final

#: Servers with a broken link from which on this router counts as isolated.
MIN_BROKEN_LINKS: Final = 2


class ServerLinks:
    """Broken links of this router, by name of the server's incarnation."""

    def __init__(self) -> None:
        """Start with all links intact."""
        #: Times at which links broke, by server.
        self.broken_at: dict[str, float] = {}
        #: Time of the last direct connection to any server.
        self.connected_at = float('-inf')
        #: Time since which this router is isolated; None if it is not.
        self.isolated_since: float | None = None
        #: Set while there are broken links.
        self.pending = asyncio.Event()

    @property
    def isolated(self) -> bool:
        """Whether this router likely has no link to any server."""
        return self.isolated_since is not None

    def record_broken(self, server: str, now: float, listed: int) -> bool:
        """Record that only a peer could connect to a server.

        :param server: the server.
        :param now: seconds on the monotonic clock.
        :param listed: number of listed servers.
        :returns: whether this router is isolated since now.
        """
        self.broken_at[server] = now
        self.pending.set()
        if self.isolated or self.count_recent() < min(MIN_BROKEN_LINKS, listed):
            return False
        self.isolated_since = now
        return True

    def record_connected(self, server: str, now: float) -> bool:
        """Record a direct connection to a server.

        :param server: the server.
        :param now: seconds on the monotonic clock.
        :returns: whether this router was isolated until now.
        """
        was_isolated = self.isolated
        self.broken_at.pop(server, None)
        self.connected_at = now
        self.isolated_since = None
        return was_isolated

    def is_broken(self, server: str) -> bool:
        """Check whether the link to a server is likely broken.

        :param server: the server.
        :returns: whether requests should not use it.
        """
        return self.isolated or server in self.broken_at

    def prune(self, servers: Collection[str]) -> None:
        """Drop the broken links to servers that are not listed any more.

        :param servers: names of the listed servers.
        """
        for gone in self.broken_at.keys() - set(servers):
            self.broken_at.pop(gone)
        if not self.broken_at and not self.isolated:
            self.pending.clear()

    def count_recent(self) -> int:
        """Count the links that broke after the last direct connection.

        :returns: their number.
        """
        return sum(at > self.connected_at for at in self.broken_at.values())
