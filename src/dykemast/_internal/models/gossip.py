"""What routers tell each other."""

from typing import NamedTuple

from dykemast._internal.models.backend import Evacuations, ServerLimit
from dykemast._internal.models.crashes import CrashGossip
from dykemast._internal.models.fleet import PeerCard
from dykemast._internal.models.long_pauses import LongPauses


class ServerLoad(NamedTuple):
    """What one router has at one backend server.

    :param server: id of the server.
    :param running: requests sent and not yet answered whole.
    :param unread: prompt tokens that the server still has to read for them.
    """

    server: str
    running: int
    unread: int


class RelayedLoads(NamedTuple):
    """What another router told of its requests, passed on.

    :param instance: the router.
    :param age: seconds since it told.
    :param loads: its requests at backend servers.
    """

    instance: str
    age: float
    loads: tuple[ServerLoad, ...]


class SentPrompt(NamedTuple):
    """A prompt that a backend server has now read.

    :param server: id of the server.
    :param parts: keys of the parts, in order.
    :param tokens: length of each part.
    """

    server: str
    parts: tuple[str, ...]
    tokens: tuple[int, ...]


class AbsentServer(NamedTuple):
    """A backend server that was not at its address.

    :param server: its id.
    :param seconds: for how long this is still believed.
    """

    server: str
    seconds: float


class ListState(NamedTuple):
    """What one router knows of a list of objects.

    :param revision: of the store, at which the list was known to be so.
    :param digest: of the objects' names and revisions; alike where the same
        objects are known.
    """

    revision: int = 0
    digest: int = 0


class RouterLoad(NamedTuple):
    """How much comes to a router, and how much it carries.

    :param capacity: requests a second that it carries well.
    :param rate: requests a second that it got lately.
    """

    capacity: float = 0
    rate: float = 0

    def exceeds_capacity(self) -> bool:
        """Tell whether more comes than the router carries.

        :returns: whether it does.
        """
        return self.rate > self.capacity


class GossipMessage(NamedTuple):
    """What one router tells another.

    :param card: who tells it; its revision is the configuration's version.
    :param leaving: backend servers known to be leaving.
    :param loads: its requests at backend servers.
    :param relayed: those of routers that it heard of last.
    :param prompts: prompts sent since the last news.
    :param ages: seconds since a kind of objects was read whole, by kind.
    :param servers: what it knows of the list of backend servers.
    :param router_load: how much comes to it.
    :param absent: backend servers that were found absent.
    :param pauses: long pauses of streams that it saw lately.
    :param crashes: servers that ended, and under which requests.
    :param evacuations: halls that are being emptied.
    :param budget_write_failed: whether its last write of a budget failed.
    :param limits: that backend servers named.
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
