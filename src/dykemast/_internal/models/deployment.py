"""What one process is told about its instance and the deployment."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple


class Endpoint(NamedTuple):
    """IP number and port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Show as ``host:port``."""
        return f'{self.host}:{self.port}'


class Listeners(NamedTuple):
    """Addresses on which this process answers.

    :param caller: requests of callers.
    :param readiness: whether this instance takes requests.
    :param entry: which addresses callers should use.
    :param peer: calls of other routers.
    :param metrics: counters for monitoring.
    """

    caller: Endpoint
    readiness: Endpoint
    entry: Endpoint
    peer: Endpoint
    metrics: Endpoint


class Bounds(NamedTuple):
    """Promises of the deployment that this process has to keep.

    :param stop_timeout: seconds from SIGTERM to SIGKILL.
    :param retry_ratio: retries allowed for each request, fleet-wide.
    :param retry_slack: retries allowed beyond the ratio, fleet-wide, in
        each window.
    :param retry_window: seconds of that window.
    :param max_entry_ttl: seconds for which callers may keep an entry answer.
    :param change_time: seconds after which a configuration is in force.
    :param leave_time: seconds after which a leaving backend server gets no
        new requests.
    :param evacuate_time: seconds after which the servers of a hall that is
        emptied get no new requests; None where halls are not emptied.
    """

    stop_timeout: float
    retry_ratio: float
    retry_slack: float
    retry_window: float
    max_entry_ttl: float
    change_time: float = 2.0
    leave_time: float = 2.0
    evacuate_time: float | None = None


class Capacity(NamedTuple):
    """What the instance gives a process.

    :param cores: processor time, in seconds a second of a common core.
    :param link: bytes a second of its link, each way.
    """

    cores: float
    link: float


class InstanceSettings(NamedTuple):
    """Settings of one process.

    :param name: name of the instance.
    :param hall: where it stands.
    :param listeners: its addresses.
    :param store: the platform's object store.
    :param bounds: promises of the deployment.
    :param max_connections: descriptors left for connections.
    :param capacity: what the instance gives this process.
    :param first_start: whether all instances start for the first time now.
    :param regions: of the halls, by hall.
    """

    name: str
    hall: str
    listeners: Listeners
    store: Endpoint
    bounds: Bounds
    max_connections: int
    capacity: Capacity
    first_start: bool = False
    regions: Mapping[str, str] = MappingProxyType({})
