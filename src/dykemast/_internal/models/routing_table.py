"""Configuration of a deployment: routes, services, workspaces.

The platform stores it as one object, and versions only increase.
"""

import enum
import hashlib
from typing import Final, NamedTuple

from dykemast._internal.models.services import RequestLimits, Service

#: Bytes of the hash of a key.
_HASH_BYTES: Final = 16
_SLASH: Final = '/'


class RouteKind(enum.Enum):
    """How a request of a route may be treated."""

    #: May run more than once.
    safe = 'safe'
    #: Runs at most once.
    unsafe = 'unsafe'
    #: Answered by a series of events.
    stream = 'stream'


class RouteKey(NamedTuple):
    """Key by which a route is found."""

    host: str
    prefix: str


class Share(NamedTuple):
    """Weight of one service among those of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """One route.

    :param name: its name.
    :param host: host name that callers use.
    :param prefix: start of the path; begins and ends with a slash.
    :param kind: how its requests may be treated.
    :param shares: services that run them, with weights.
    :param timeout: seconds after which a request gets its final answer.
    :param objective: latency objective of an answer, in seconds.
    :param pause_objective: objective for the longest pause between two events
        of an answer, in seconds; 0 for none.
    :param priority: 0 is the most urgent.
    :param max_workers: backend servers that one request may be sent to.
    :param public: whether requests need no key.
    :param resumable: whether a broken stream may continue at another worker.
    :param allowed_regions: regions that its requests may be sent to; None for
        all.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[Share, ...]
    timeout: float
    objective: float
    pause_objective: float
    priority: int
    max_workers: int
    public: bool
    resumable: bool
    allowed_regions: frozenset[str] | None = None


class Workspace(NamedTuple):
    """One workspace.

    :param name: its name.
    :param priority: 0 is the most urgent; None leaves it to the route.
    :param prepaid: tokens paid for; None when it has no budget.
    :param allowed_regions: regions that its requests may be sent to; None for
        all.
    """

    name: str
    priority: int | None
    prepaid: int | None
    allowed_regions: frozenset[str] | None = None


class RoutingTable(NamedTuple):
    """One version of the configuration.

    :param version: increases with each change.
    :param revision: revision of the object in the store.
    :param routes: by host name and prefix.
    :param services: by name.
    :param workspaces: by name.
    :param keys: name of the workspace by the hash of its key.
    :param limits: limits of requests.
    """

    version: int
    revision: int
    routes: dict[RouteKey, Route]
    services: dict[str, Service]
    workspaces: dict[str, Workspace]
    keys: dict[bytes, str]
    limits: RequestLimits

    def find_route(self, host: str, path: str) -> Route | None:
        """Find the route of a request.

        :param host: host name that the caller used, without a port.
        :param path: path of the request.
        :returns: the route with the longest matching prefix, or None.
        """
        end = path.rfind(_SLASH) + 1
        while end:
            route = self.routes.get(RouteKey(host, path[:end]))
            if route:
                return route
            end = path.rfind(_SLASH, 0, end - 1) + 1
        return None

    def find_health_path(self, service: str) -> str:
        """Find the path of the health check of a service's servers.

        :param service: name of the service.
        :returns: the path; the root for an unknown service.
        """
        found = self.services.get(service)
        return found.health_path if found else _SLASH

    def list_allowed_regions(self, host: str) -> list[frozenset[str]]:
        """List the allowed regions of a host's routes.

        :param host: host name that callers use.
        :returns: regions of each route that is bound to some.
        """
        return [
            route.allowed_regions
            for route in self.routes.values()
            if route.allowed_regions and route.host == host
        ]

    def find_workspace(self, key: str) -> Workspace | None:
        """Find the workspace of a key.

        :param key: as the caller sent it.
        :returns: the workspace; None for an unknown key.
        """
        name = self.keys.get(hash_key(key))
        return None if name is None else self.workspaces[name]


def hash_key(key: str) -> bytes:
    """Hash a key, so that it is not kept in clear text.

    :param key: as it was issued.
    :returns: its hash.
    """
    return hashlib.blake2b(key.encode(), digest_size=_HASH_BYTES).digest()
