"""Settings of a process: its instance and its deployment."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple


class Endpoint(NamedTuple):
    """IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Show as ``host:port``."""
        return f'{self.host}:{self.port}'


class Listeners(NamedTuple):
    """Addresses on which this process listens.

    :param caller: for requests of callers.
    :param readiness: for readiness checks of this instance.
    :param entry: for entry requests: which addresses callers should use.
    :param peer: for calls of other routers.
    :param metrics: for scrapes of metrics.
    :param tunnel: for tunnels of other routers to backend servers; None where
        there is no port for it.
    """

    caller: Endpoint
    readiness: Endpoint
    entry: Endpoint
    peer: Endpoint
    metrics: Endpoint
    tunnel: Endpoint | None = None


class Bounds(NamedTuple):
    """Service levels of the deployment that this process has to meet.

    :param stop_timeout: seconds from SIGTERM to SIGKILL.
    :param retry_ratio: retries allowed per request, fleet-wide.
    :param retry_slack: retries allowed beyond the ratio, fleet-wide, in
        each window.
    :param retry_window: seconds of that window.
    :param max_entry_ttl: seconds for which callers may cache an entry answer.
    :param change_time: seconds after which a new configuration is in force.
    :param leave_time: seconds after which a leaving backend server gets no
        new requests.
    :param evacuate_time: seconds after which the servers of an evacuated hall
        get no new requests; None where halls are not evacuated.
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
    """Resources of the instance that a process may use.

    :param cores: processor time, in seconds of a common core per second.
    :param link: bandwidth of its link, in bytes per second each way.
    """

    cores: float
    link: float


class InstanceSettings(NamedTuple):
    """Settings of one process.

    :param name: name of the instance.
    :param hall: hall of the instance.
    :param listeners: addresses on which the process listens.
    :param store: address of the platform's object store.
    :param bounds: service levels of the deployment.
    :param max_connections: file descriptors available for connections.
    :param capacity: resources of the instance.
    :param first_start: whether all instances start for the first time now.
    :param regions: region of each hall, by hall.
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
