"""Backpressure of backend servers, as known by one router."""

import dataclasses
from collections.abc import Collection
from typing import Final

from dykemast._internal.models.backend import BackendServer, Backpressure
from dykemast._internal.operations.server_limits import ServerLimits

#: Time for which a leaving incarnation without an entry is remembered: entries
#: return when the store does, and a leaving server may run on for long.
DELISTED_TTL_S: Final = 300.0


class DelistedServers:
    """Incarnations that announced that they leave, and are not listed any more.

    Entries expire while the store is unavailable, and return unchanged.
    """

    def __init__(self) -> None:
        """Start without servers."""
        self._known: dict[str, tuple[BackendServer, float]] = {}

    def record(self, server: BackendServer, now: float) -> None:
        """Record a leaving incarnation.

        :param server: the incarnation.
        :param now: seconds on the monotonic clock.
        """
        self._known[server.server_id] = (server, now)

    def find(self, server_id: str) -> BackendServer | None:
        """Find the last leaving incarnation of a server.

        :param server_id: id of the server.
        :returns: the incarnation; None if there is none.
        """
        known = self._known.get(server_id)
        return known and known[0]

    def relist(self, server: BackendServer) -> bool:
        """Drop the record of a server that is listed again.

        :param server: the incarnation that is listed now.
        :returns: whether it is the incarnation that was leaving.
        """
        known = self._known.pop(server.server_id, None)
        return known is not None and known[0].name == server.name

    def expire(self, now: float) -> None:
        """Drop records older than ``DELISTED_TTL_S``.

        :param now: seconds on the monotonic clock.
        """
        for server_id, (_, since) in tuple(self._known.items()):
            if now - since > DELISTED_TTL_S:
                self._known.pop(server_id)


@dataclasses.dataclass
class BackpressureState:
    """Backpressure of servers, by name of their incarnation.

    :param last: backpressure of the last response to this router.
    :param limits: rate limits that servers sent to any router.
    :param backoff_until: seconds on the monotonic clock at which the backoff
        that a server requested from this router ends.
    :param delisted: leaving servers that are not listed any more.
    """

    last: dict[str, Backpressure] = dataclasses.field(default_factory=dict)
    limits: ServerLimits = dataclasses.field(default_factory=ServerLimits)
    backoff_until: dict[str, float] = dataclasses.field(default_factory=dict)
    delisted: DelistedServers = dataclasses.field(
        default_factory=DelistedServers
    )

    def may_be_restricted(self, server: str) -> bool:
        """Check whether a server may have a limit or a backoff.

        :param server: name of its incarnation.
        :returns: False if it has neither; True also for a backoff that is over.
        """
        return (
            server in self.backoff_until or self.limits.find(server) is not None
        )

    def record_backoff(self, server: str, until: float) -> None:
        """Record the backoff that a server requests; the latest end counts.

        :param server: name of its incarnation.
        :param until: seconds on the monotonic clock at which it ends.
        """
        self.backoff_until[server] = max(
            until, self.backoff_until.get(server, until)
        )

    def get_backoff(self, server: str, now: float) -> float:
        """Get the remaining backoff of a server.

        :param server: name of its incarnation.
        :param now: seconds on the monotonic clock.
        :returns: seconds; 0 for no backoff.
        """
        return max(0, self.backoff_until.get(server, now) - now)

    def expire(self, servers: Collection[str], now: float) -> None:
        """Drop backoffs that are over, and servers that are not listed.

        :param servers: names of the listed incarnations.
        :param now: seconds on the monotonic clock.
        """
        self.limits.keep_only(servers, now)
        self.delisted.expire(now)
        for server, until in tuple(self.backoff_until.items()):
            if until < now:
                self.backoff_until.pop(server)
