"""Backpressure of backend servers, as known by one router."""

import dataclasses
import math
from collections.abc import Collection
from typing import Final

from dykemast._internal.models.backend import BackendServer, Backpressure
from dykemast._internal.operations.server_incarnations import (
    is_later,
    may_be_copied,
)
from dykemast._internal.operations.server_limits import ServerLimits

#: Time for which a leaving incarnation without an entry is remembered: entries
#: return when the store does, and a leaving server may run on for long.
DELISTED_TTL_S: Final = 300.0
#: Time for which routers send no more than their share to a brittle server that
#: rejected a request.
REJECTION_MEMORY_S: Final = 3.0


class DelistedServers:
    """Incarnations that announced that they leave, and are not listed any more.

    Entries expire while the store is unavailable, and return unchanged.
    """

    def __init__(self) -> None:
        """Start without servers."""
        # By name, in the order in which they were recorded.
        self._known: dict[str, tuple[BackendServer, float]] = {}

    def record(self, server: BackendServer, now: float) -> None:
        """Record a leaving incarnation.

        :param server: the incarnation.
        :param now: seconds on the monotonic clock.
        """
        self._known.pop(server.name, None)
        self._known[server.name] = (server, now)

    def is_leaving(self, name: str) -> bool:
        """Check whether an incarnation is recorded.

        :param name: name of the incarnation.
        :returns: whether it is.
        """
        return name in self._known

    def find(self, server_id: str) -> BackendServer | None:
        """Find the last leaving incarnation of a server.

        :param server_id: id of the server.
        :returns: the incarnation; None if there is none.
        """
        found = self._list_of(server_id)
        return found[-1] if found else None

    def relist(self, server: BackendServer) -> bool:
        """Drop the records of a server that is listed again.

        Those of incarnations that may come after the listed one are kept.

        :param server: the incarnation that is listed now.
        :returns: whether it was leaving.
        """
        was_leaving = self._known.pop(server.name, None) is not None
        for known in self._list_of(server.server_id):
            if is_later(server, known):
                self._known.pop(known.name)
        return was_leaving

    def expire(self, now: float) -> None:
        """Drop records older than ``DELISTED_TTL_S``.

        :param now: seconds on the monotonic clock.
        """
        for name, (_, since) in tuple(self._known.items()):
            if now - since > DELISTED_TTL_S:
                self._known.pop(name)

    def _list_of(self, server_id: str) -> list[BackendServer]:
        return [
            server
            for server, _ in self._known.values()
            if server.server_id == server_id
        ]


class RemovedServers:
    """Servers whose entries went, by id.

    Some serve on for seconds after that and end without announcing it. The
    store may return from an older copy that still lists them.
    """

    def __init__(self) -> None:
        """Start without servers."""
        self._known: dict[str, tuple[BackendServer, float]] = {}

    def record(self, server: BackendServer, now: float) -> None:
        """Record that the entry of a server went.

        :param server: its incarnation, with the era in which the entry went.
        :param now: seconds on the monotonic clock.
        """
        self._known[server.server_id] = (server, now)

    def may_be_copied(self, server: BackendServer) -> bool:
        """Tell whether an entry may be from before the removal of its server.

        :param server: the server, as decoded from its entry.
        :returns: whether it may.
        """
        removed, _ = self._known.get(server.server_id, (None, 0))
        return removed is not None and may_be_copied(server, removed)

    def expire(self, now: float) -> None:
        """Drop records older than ``DELISTED_TTL_S``.

        :param now: seconds on the monotonic clock.
        """
        for server_id, (_, since) in tuple(self._known.items()):
            if now - since > DELISTED_TTL_S:
                self._known.pop(server_id)


class BrittleServers:
    """Servers that crash when they reject many requests in a second.

    All servers of a service are brittle at the same time, so one that has not
    responded yet is taken for brittle if another one is.
    """

    def __init__(self) -> None:
        """Start without brittle servers."""
        self._known: dict[str, tuple[str, bool]] = {}
        self._services: set[str] = set()
        self._rejected_at: dict[str, float] = {}

    def record(self, server: BackendServer, *, brittle: bool) -> None:
        """Record what a response of a server says.

        :param server: the server.
        :param brittle: whether it is brittle.
        """
        if brittle or server.name in self._known:
            self._known[server.name] = (server.service, brittle)
            self._update_services()

    def record_rejection(self, server: str, now: float) -> None:
        """Record that a server rejected a request.

        :param server: name of its incarnation.
        :param now: seconds on the monotonic clock.
        """
        self._rejected_at[server] = now

    def is_brittle(self, server: BackendServer) -> bool:
        """Check whether a server is brittle.

        :param server: the server.
        :returns: whether it is, as far as known.
        """
        if server.service not in self._services:
            return False
        _, brittle = self._known.get(server.name, (server.service, True))
        return brittle

    def has_rejected(self, server: str, now: float) -> bool:
        """Check whether a server rejected a request recently.

        :param server: name of its incarnation.
        :param now: seconds on the monotonic clock.
        :returns: whether it did.
        """
        rejected_at = self._rejected_at.get(server, -math.inf)
        return now - rejected_at < REJECTION_MEMORY_S

    def keep_only(self, servers: Collection[str]) -> None:
        """Drop servers that are not listed any more.

        :param servers: names of the listed incarnations.
        """
        for known in (self._known, self._rejected_at):
            for gone in known.keys() - set(servers):
                known.pop(gone)
        self._update_services()

    def _update_services(self) -> None:
        self._services = {
            service for service, brittle in self._known.values() if brittle
        }


@dataclasses.dataclass
class BackpressureState:
    """Backpressure of servers, by name of their incarnation.

    :param last: backpressure of the last response to this router.
    :param limits: rate limits that servers sent to any router.
    :param backoff_until: seconds on the monotonic clock at which the backoff
        that a server requested from this router ends.
    :param delisted: leaving servers that are not listed any more.
    :param removed: servers whose entries went.
    :param brittle: servers that crash when they reject many requests.
    """

    last: dict[str, Backpressure] = dataclasses.field(default_factory=dict)
    limits: ServerLimits = dataclasses.field(default_factory=ServerLimits)
    backoff_until: dict[str, float] = dataclasses.field(default_factory=dict)
    delisted: DelistedServers = dataclasses.field(
        default_factory=DelistedServers
    )
    removed: RemovedServers = dataclasses.field(default_factory=RemovedServers)
    brittle: BrittleServers = dataclasses.field(default_factory=BrittleServers)

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
        self.brittle.keep_only(servers)
        self.delisted.expire(now)
        self.removed.expire(now)
        for server, until in tuple(self.backoff_until.items()):
            if until < now:
                self.backoff_until.pop(server)
