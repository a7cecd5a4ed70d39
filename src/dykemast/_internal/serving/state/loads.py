"""Requests at backend servers, of this router and of others."""

from typing import NamedTuple

from dykemast._internal.models.gossip import ServerLoad
from dykemast._internal.operations.absent_servers import AbsentServers
from dykemast._internal.operations.engine_pauses import EnginePauses
from dykemast._internal.operations.own_loads import OwnLoads
from dykemast._internal.operations.peer_loads import PeerLoads
from dykemast._internal.operations.prompt_caches import PromptCaches


class Loads(NamedTuple):
    """What is known of the load of backend servers.

    :param own: requests of this router.
    :param peers: requests of other routers.
    :param caches: prompts that model engines keep.
    :param absent: servers that were found absent.
    :param pauses: long pauses of streams at model engines, of all routers.
    """

    own: OwnLoads
    peers: PeerLoads
    caches: PromptCaches
    absent: AbsentServers
    pauses: EnginePauses


def make_loads() -> Loads:
    """Know nothing yet.

    :returns: empty loads.
    """
    return Loads(
        OwnLoads(),
        PeerLoads(),
        PromptCaches(),
        AbsentServers(),
        EnginePauses(),
    )


def compute_load(loads: Loads, server: str, now: float) -> ServerLoad:
    """Add up what is known of a server's load.

    :param loads: what is known.
    :param server: its id.
    :param now: seconds.
    :returns: the load, of all routers that were heard of lately.
    """
    own = loads.own.get_load(server)
    peers = loads.peers.get_load(server, now)
    return ServerLoad(
        server, own.running + peers.running, own.unread + peers.unread
    )
