"""What backend servers ask for in their answers, as far as one router knows."""

import dataclasses
from collections.abc import Collection
from typing import Final

from dykemast._internal.models.backend import BackendServer, Backpressure
from dykemast._internal.operations.server_limits import ServerLimits

#: Seconds for which it is known that a start was leaving whose entry is gone.
#: Entries come back with the store, and a server may serve on for long.
KEEP_TIME: Final = 300.0


class DelistedServers:
    """Starts that said that they leave and are not listed any more.

    Entries lapse while the store is away, and come back as they were.
    """

    def __init__(self) -> None:
        """Know of none."""
        self._known: dict[str, tuple[BackendServer, float]] = {}

    def record(self, server: BackendServer, now: float) -> None:
        """Take note of a start that was leaving.

        :param server: the start.
        :param now: seconds.
        """
        self._known[server.server_id] = (server, now)

    def find(self, server_id: str) -> BackendServer | None:
        """Find the last start under an id that was leaving.

        :param server_id: the id.
        :returns: the start; None where none is known.
        """
        known = self._known.get(server_id)
        return known and known[0]

    def relist(self, server: BackendServer) -> bool:
        """Forget about an id that is listed again.

        :param server: the start that is listed under it.
        :returns: whether it is the one that was leaving.
        """
        known = self._known.pop(server.server_id, None)
        return known is not None and known[0].name == server.name

    def forget(self, now: float) -> None:
        """Forget starts that have ended for certain.

        :param now: seconds.
        """
        for server_id, (_, since) in tuple(self._known.items()):
            if now - since > KEEP_TIME:
                self._known.pop(server_id)


@dataclasses.dataclass
class BackpressureState:
    """What servers ask for, by the name of their start.

    :param last: by the last answer here.
    :param limits: that they named, here or to other routers.
    :param backoff_until: end of the backoff that they asked this router for.
    :param delisted: those that were leaving and are not listed any more.
    """

    last: dict[str, Backpressure] = dataclasses.field(default_factory=dict)
    limits: ServerLimits = dataclasses.field(default_factory=ServerLimits)
    backoff_until: dict[str, float] = dataclasses.field(default_factory=dict)
    delisted: DelistedServers = dataclasses.field(
        default_factory=DelistedServers
    )

    def is_bound(self, server: str) -> bool:
        """Tell whether a server may have asked for rest or named a limit.

        :param server: name of its start.
        :returns: whether it did at some time.
        """
        return (
            server in self.backoff_until or self.limits.find(server) is not None
        )

    def record_backoff(self, server: str, until: float) -> None:
        """Take note that a server asks for rest; the longest counts.

        :param server: name of its start.
        :param until: seconds until which it wants nothing.
        """
        self.backoff_until[server] = max(
            until, self.backoff_until.get(server, until)
        )

    def get_backoff(self, server: str, now: float) -> float:
        """Measure for how long a server wants nothing from this router.

        :param server: name of its start.
        :param now: seconds.
        :returns: seconds; 0 for no rest.
        """
        return max(0, self.backoff_until.get(server, now) - now)

    def forget(self, servers: Collection[str], now: float) -> None:
        """Forget what is over, and servers that are gone.

        :param servers: names of those that are listed.
        :param now: seconds.
        """
        self.limits.keep_only(servers, now)
        self.delisted.forget(now)
        for server, until in tuple(self.backoff_until.items()):
            if until < now:
                self.backoff_until.pop(server)
