"""Instances of the platform's list, and what they report."""

import enum
from typing import NamedTuple


class InstanceState(enum.StrEnum):
    """State of an instance in the platform's list."""

    live = 'live'
    leaving = 'leaving'


class Instance(NamedTuple):
    """One line of the platform's list, which lags.

    :param name: the platform's id; never given to another instance.
    :param role: ``router``, or the service that the backend server is of.
    :param hall: where it stands.
    :param host: IP number.
    :param port: port for callers, or of the backend server.
    :param state: live or leaving.
    """

    name: str
    role: str
    hall: str
    host: str
    port: int
    state: InstanceState = InstanceState.live


class PeerCard(NamedTuple):
    """What a router tells its peers about itself.

    :param instance: its instance id.
    :param incarnation: fresh for each process start.
    :param hall: where it stands.
    :param host: IP number.
    :param caller_port: port for callers.
    :param peer_port: port for other routers.
    :param revision: newest configuration that it has in force.
    :param inflight: requests in progress.
    :param leaving: whether it is stopping.
    """

    instance: str
    incarnation: str
    hall: str
    host: str
    caller_port: int
    peer_port: int
    revision: int = 0
    inflight: int = 0
    leaving: bool = False


class LoadReport(NamedTuple):
    """Load of a worker, as it reports late.

    :param running: requests being worked on.
    :param waiting: requests in its queue.
    :param models: names of the models it has loaded.
    :param at: seconds on this router's clock when it was read.
    :param own: requests of this router among them, at that time.
    """

    running: int = 0
    waiting: int = 0
    models: tuple[str, ...] = ()
    at: float = 0
    own: int = 0
