"""Gossip messages between routers."""

from typing import NamedTuple

from dykemast._internal.models.backend import (
    Evacuations,
    LongPauses,
    ServerLimit,
)
from dykemast._internal.models.crashes import CrashGossip
from dykemast._internal.models.fleet import PeerCard


class ServerLoad(NamedTuple):
    """Requests of one router at one backend server.

    :param server: id of the server.
    :param running: requests sent whose answers are not complete.
    :param unread: their prompt tokens that the server has not processed yet.
    """

    server: str
    running: int
    unread: int


class RelayedLoads(NamedTuple):
    """Server loads of another router, relayed.

    :param instance: the router.
    :param age: seconds since its message arrived.
    :param loads: its requests at backend servers.
    """

    instance: str
    age: float
    loads: tuple[ServerLoad, ...]


class SentPrompt(NamedTuple):
    """A prompt that a backend server has processed.

    :param server: id of the server.
    :param parts: keys of the parts, in order.
    :param tokens: length of each part.
    """

    server: str
    parts: tuple[str, ...]
    tokens: tuple[int, ...]


class AbsentServer(NamedTuple):
    """A backend server that was not reachable at its address.

    :param server: its id.
    :param seconds: for how long it still counts as absent.
    """

    server: str
    seconds: float


class ListState(NamedTuple):
    """Version of a router's copy of a list of objects.

    :param position: position in the store's history that the copy corresponds
        to.
    :param digest: digest of the objects' names and positions; equal for equal
        copies.
    """

    position: int = 0
    digest: int = 0


class RouterLoad(NamedTuple):
    """Request rate and capacity of a router.

    :param capacity: requests per second that it can handle without queueing.
    :param rate: recent requests per second.
    """

    capacity: float = 0
    rate: float = 0

    def exceeds_capacity(self) -> bool:
        """Tell whether the request rate exceeds the capacity.

        :returns: whether it does.
        """
        return self.rate > self.capacity


class GossipMessage(NamedTuple):
    """Gossip message of a router.

    :param card: the sender; its revision is the version of its configuration.
    :param leaving: backend servers that are leaving.
    :param loads: requests of the sender at backend servers.
    :param relayed: those of the routers that it heard from last.
    :param prompts: prompts sent lately.
    :param ages: seconds since the last full listing of a kind, by kind.
    :param servers: version of its copy of the list of backend servers.
    :param router_load: its request rate and capacity.
    :param absent: backend servers that were not reachable.
    :param pauses: long pauses of streams that it saw recently.
    :param crashes: servers that crashed, and the requests they ran.
    :param evacuations: evacuated halls.
    :param budget_write_failed: whether its last write of a budget failed.
    :param limits: rate limits that backend servers announced.
    """

    card: PeerCard
    leaving: tuple[str, ...]
    loads: tuple[ServerLoad, ...]
    relayed: tuple[RelayedLoads, ...]
    prompts: tuple[SentPrompt, ...]
    ages: dict[str, float]
    servers: ListState
    router_load: RouterLoad
    absent: tuple[AbsentServer, ...]
    pauses: tuple[LongPauses, ...] = ()
    crashes: CrashGossip = CrashGossip()
    evacuations: Evacuations = Evacuations()
    budget_write_failed: bool = False
    limits: tuple[ServerLimit, ...] = ()
