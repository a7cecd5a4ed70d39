"""Blackboard: the state that the components of a router share."""

import asyncio
import dataclasses
from collections.abc import Iterator
from typing import Final

from dykemast._internal.models import (
    deployment,
    fleet,
    gossip,
    routing_table,
    streams,
)
from dykemast._internal.models.backend import BackendServer, Evacuations
from dykemast._internal.operations import (
    broken_sends,
    crash_table,
    demand,
    loop_health,
    event_loop_monitor,
    planned_stop,
    route_times,
    backpressure_state,
)
from dykemast._internal.operations.admission_limit import AdmissionLimit
from dykemast._internal.operations.server_links import ServerLinks
from dykemast._internal.operations.stream_origins import (
    MIN_STREAM_TIME_S,
    StreamOrigins,
    VersionHistory,
)
from dykemast._internal.platform.store_types import StoreObject
from dykemast._internal.utils.clock import read_clock

#: Seconds since the last message after which a peer counts as silent: several
#: gossip rounds, and more in a large fleet, where other peers relay messages.
PEER_TIMEOUT_S: Final = 1.5
PEER_TIMEOUT_PER_PEER_S: Final = 0.03
MAX_PEER_TIMEOUT_S: Final = 2.5
#: Seconds over which the request rate is averaged: shorter than most callers
#: cache an entry answer.
ARRIVAL_WINDOW_S: Final = 2.0

#: Time of what did not happen, before all others.
NEVER_S: Final = float('-inf')
#: Peers from which on a fleet is large: with more, concurrent writes of one
#: budget mostly conflict, and gossip with all peers overloads small instances.
LARGE_FLEET_ROUTERS: Final = 20


@dataclasses.dataclass
class Peer:
    """Another router, as of its last message.

    :param card: its description of itself.
    :param last_heard_at: seconds at which it last sent a message, to this
        router or to one that relayed it; 0 for never.
    :param last_exchange_at: seconds at which it last exchanged messages with
        this router.
    :param router_load: its request rate and capacity.
    :param budget_write_failed: whether its last write of a budget failed.
    :param store_era: era of the store in which it last listed servers.
    """

    card: fleet.PeerCard
    last_heard_at: float = 0
    last_exchange_at: float = 0
    router_load: gossip.RouterLoad = gossip.RouterLoad()
    budget_write_failed: bool = False
    store_era: int = 0


@dataclasses.dataclass
class ServingBoard:
    """State that the components of a router share. Each field names its writer.

    :param settings: settings of this process; ``serving.reload``.
    :param incarnation: random id, new at each start of the process.
    :param started_at: seconds at which this process started.
    :param table: configuration in force; ``serving.configuration``.
    :param table_changed: set when a new configuration comes into force;
        ``serving.configuration``.
    :param encoded_table: its packed object; ``serving.configuration``.
    :param last_read_at: seconds at which a kind was last listed, by this router
        or by a peer with the same copy; ``serving.periodic_reads`` and
        ``serving.cache_freshness``.
    :param read_started_at: seconds at which the current listing of a kind
        began; ``serving.periodic_reads``.
    :param newest_peer_version: highest version of the configuration that a peer
        has; ``serving.gossip_messages``.
    :param positions: in the store's history, by kind, up to which changes are
        applied; ``serving.configuration``, ``serving.evacuations`` and
        ``serving.server_entries``.
    :param servers: backend servers by incarnation; ``serving.backends``.
    :param server_starts: the same, by id; ``serving.backends``.
    :param server_objects: their entries as the store holds them, by id;
        ``serving.backends``.
    :param server_state: position and digest of these;
        ``serving.server_entries``.
    :param expired_until: seconds until which a server is kept whose entry
        expired while the store was unavailable, or went when it returned from
        an older copy, by name; ``serving.backends``.
    :param held_until: seconds until which a server is not used because its
        entry went before the store returned from an older copy that lists it,
        by name; ``serving.cold_servers`` and ``serving.backends``.
    :param leaving: incarnations of servers that are leaving; a name is removed
        only with its server; ``serving.backends``.
    :param serving_until: seconds until which a server that is leaving may get
        requests that can go nowhere else, by name; ``serving.backends``.
    :param cold_until: seconds until which a server counts as cold, by name;
        ``serving.cold_servers``.
    :param backpressure: backpressure of servers; ``serving.backpressure``,
        ``serving.backends`` and ``serving.gossip_messages``.
    :param evacuations: evacuated halls; ``serving.evacuations``.
    :param evacuated_until: seconds until which a hall stays evacuated that was
        so before the store returned from an older copy;
        ``serving.evacuations``.
    :param peers: other routers by instance; ``serving.members`` adds and
        removes them, ``serving.gossip_messages`` updates them.
    :param registered_era: era of the store in which this router's entry was
        last written; ``serving.own_entry``.
    :param peers_read: set when the list of routers was read since the start;
        ``serving.members``.
    :param inflight: requests in progress; ``serving.application``.
    :param arrivals: rate of arriving requests; ``serving.application``.
    :param stopping: whether this router is stopping; ``serving.planned_stop``.
    :param stop_plan: its plan, while it is stopping; ``serving.planned_stop``.
    :param store_unavailable_since: seconds at which the store stopped
        answering, 0 while it answers; ``serving.store_answers``.
    :param store_era: highest era of the store that this process knows; 0 at its
        start; ``serving.updates``.
    :param store_era_at: seconds at which this process first saw that era;
        ``NEVER_S`` for 0; ``serving.store_answers``.
    :param first_era: era of the store that this process saw first;
        ``serving.store_answers``.
    :param budget_write_failed: whether the last write of a budget failed;
        ``serving.ledger_writer``.
    :param usual_times: durations of requests; ``serving.records`` and
        ``serving.application``.
    :param tasks: tasks of admitted requests; ``serving.application``.
    :param reading: tasks of requests whose bodies are still being read;
        ``serving.application``.
    :param watch: lateness of the event loop; ``serving.loops``.
    :param admission_limit: limit of ``inflight``; ``serving.in_progress`` and
        ``serving.gossip`` record what it follows from, ``serving.checks``
        changes it.
    :param loops: which loops failed; ``serving.supervision``.
    :param crashes: servers that crashed, and the requests they ran;
        ``serving.crash_watch``, ``serving.crash_records`` and
        ``serving.gossip_messages``.
    :param broken: sends that broke off recently; ``serving.crash_watch``.
    :param quarantined: digests of requests that are not sent;
        ``serving.quarantines``.
    :param trials: digests of requests that run alone as a trial;
        ``serving.quarantine``.
    :param origins: at which version streams began; ``serving.event_streams``
        and ``serving.stream_records``.
    :param stream_time_s: seconds for which callers may take up a stream;
        ``serving.configuration``.
    :param versions: versions that services have or had; ``serving.backends``
        and ``serving.version_records``.
    :param writers: routers that write where the streams of all began;
        ``serving.stream_replicas``.
    :param links: links to backend servers; ``serving.server_paths``.
    :param tunnels: open tunnels of other routers; ``serving.tunnel_targets``.
    """

    settings: deployment.InstanceSettings
    incarnation: str
    started_at: float = dataclasses.field(default_factory=read_clock)
    table: routing_table.RoutingTable | None = None
    table_changed: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )
    encoded_table: bytes = b''
    last_read_at: dict[str, float] = dataclasses.field(default_factory=dict)
    read_started_at: dict[str, float] = dataclasses.field(default_factory=dict)
    newest_peer_version: int = 0
    positions: dict[str, int] = dataclasses.field(default_factory=dict)
    servers: dict[str, BackendServer] = dataclasses.field(default_factory=dict)
    server_starts: dict[str, BackendServer] = dataclasses.field(
        default_factory=dict
    )
    server_objects: dict[str, StoreObject] = dataclasses.field(
        default_factory=dict
    )
    server_state: gossip.ListState = gossip.ListState()
    expired_until: dict[str, float] = dataclasses.field(default_factory=dict)
    held_until: dict[str, float] = dataclasses.field(default_factory=dict)
    leaving: set[str] = dataclasses.field(default_factory=set)
    serving_until: dict[str, float] = dataclasses.field(default_factory=dict)
    cold_until: dict[str, float] = dataclasses.field(default_factory=dict)
    backpressure: backpressure_state.BackpressureState = dataclasses.field(
        default_factory=backpressure_state.BackpressureState
    )
    evacuations: Evacuations = Evacuations()
    evacuated_until: dict[str, float] = dataclasses.field(default_factory=dict)
    peers: dict[str, Peer] = dataclasses.field(default_factory=dict)
    registered_era: int = 0
    peers_read: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    inflight: int = 0
    arrivals: demand.Demand = dataclasses.field(
        default_factory=lambda: demand.Demand(ARRIVAL_WINDOW_S)
    )
    stopping: bool = False
    stop_plan: planned_stop.StopPlan | None = None
    store_unavailable_since: float = 0
    store_era: int = 0
    store_era_at: float = NEVER_S
    first_era: int = 0
    budget_write_failed: bool = False
    usual_times: route_times.RouteTimes = dataclasses.field(
        default_factory=route_times.RouteTimes
    )
    tasks: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)
    reading: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)
    watch: event_loop_monitor.EventLoopMonitor = dataclasses.field(
        default_factory=lambda: event_loop_monitor.EventLoopMonitor(
            read_clock()
        )
    )
    admission_limit: AdmissionLimit = dataclasses.field(
        default_factory=AdmissionLimit
    )
    loops: loop_health.LoopHealth = dataclasses.field(
        default_factory=loop_health.LoopHealth
    )
    crashes: crash_table.CrashTable = dataclasses.field(
        default_factory=crash_table.CrashTable
    )
    broken: broken_sends.BrokenSends = dataclasses.field(
        default_factory=broken_sends.BrokenSends
    )
    quarantined: set[str] = dataclasses.field(default_factory=set)
    trials: set[str] = dataclasses.field(default_factory=set)
    origins: StreamOrigins = dataclasses.field(default_factory=StreamOrigins)
    stream_time_s: float = MIN_STREAM_TIME_S
    versions: VersionHistory = dataclasses.field(default_factory=VersionHistory)
    writers: streams.Writers = streams.Writers()
    links: ServerLinks = dataclasses.field(default_factory=ServerLinks)
    tunnels: int = 0

    def get_version(self) -> int:
        """Get the version of the configuration in force.

        :returns: its version; 0 for none.
        """
        return self.table.version if self.table else 0


def is_silent(board: ServingBoard, peer: Peer) -> bool:
    """Tell whether no message of a peer arrived within the timeout.

    :param board: the blackboard.
    :param peer: the peer.
    :returns: whether it is silent.
    """
    scaled = PEER_TIMEOUT_PER_PEER_S * len(board.peers)
    timeout = min(MAX_PEER_TIMEOUT_S, max(PEER_TIMEOUT_S, scaled))
    return read_clock() - peer.last_heard_at > timeout


def mark_silent(board: ServingBoard, peer: Peer) -> bool:
    """Mark a peer that did not answer as silent.

    :param board: the blackboard.
    :param peer: the peer.
    :returns: whether it was not silent before.
    """
    if is_silent(board, peer):
        return False
    peer.last_heard_at = 0
    return True


def list_live_peers(board: ServingBoard) -> Iterator[Peer]:
    """List the peers that are not silent.

    :param board: the blackboard.
    :returns: the live peers.
    """
    return (peer for peer in board.peers.values() if not is_silent(board, peer))


def is_large_fleet(board: ServingBoard) -> bool:
    """Tell whether the fleet is large.

    :param board: the blackboard.
    :returns: whether it is.
    """
    return len(board.peers) >= LARGE_FLEET_ROUTERS
