"""Load of backend servers, by this router and by its peers."""

from typing import NamedTuple

from dykemast._internal.models.gossip import ServerLoad
from dykemast._internal.operations.absent_servers import AbsentServers
from dykemast._internal.operations.engine_pauses import EnginePauses
from dykemast._internal.operations.own_loads import OwnLoads
from dykemast._internal.operations.peer_loads import PeerLoads
from dykemast._internal.operations.prompt_caches import PromptCaches


class Loads(NamedTuple):
    """Tables of the state of backend servers that routers share.

    :param own: load by this router.
    :param peers: load by other routers.
    :param caches: prompts that model engines have cached.
    :param absent: servers that refused connections.
    :param pauses: long pauses of streams at model engines.
    """

    own: OwnLoads
    peers: PeerLoads
    caches: PromptCaches
    absent: AbsentServers
    pauses: EnginePauses


def make_loads() -> Loads:
    """Make empty tables.

    :returns: the tables.
    """
    return Loads(
        OwnLoads(),
        PeerLoads(),
        PromptCaches(),
        AbsentServers(),
        EnginePauses(),
    )


def compute_load(loads: Loads, server: str, now: float) -> ServerLoad:
    """Add up the load of a server by all routers.

    :param loads: the tables.
    :param server: its id.
    :param now: seconds on the monotonic clock.
    :returns: the load by this router and its live peers.
    """
    own = loads.own.get_load(server)
    peers = loads.peers.get_load(server, now)
    return ServerLoad(
        server, own.running + peers.running, own.unread + peers.unread
    )
