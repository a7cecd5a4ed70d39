"""Blackboard of the program: what its parts know, and who writes it."""

import asyncio
import dataclasses
from collections.abc import Iterator
from typing import Final

from dykemast._internal.models.backend import BackendServer, Evacuations
from dykemast._internal.models.deployment import InstanceSettings
from dykemast._internal.models.fleet import PeerCard
from dykemast._internal.models.gossip import ListState, RouterLoad
from dykemast._internal.models.routing_table import RoutingTable
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
from dykemast._internal.platform.store_types import StoreObject
from dykemast._internal.utils.clock import read_clock

#: Seconds since the last news after which a peer counts as silent: several
#: rounds of news; in a large fleet, where they come over others, some more.
PEER_TIMEOUT_S: Final = 1.5
PEER_TIMEOUT_PER_PEER_S: Final = 0.03
MAX_PEER_TIMEOUT_S: Final = 2.5
#: Seconds over which arriving requests are averaged: callers keep an entry
#: answer for 1.5 to 4.5 s, so that they follow within some of these.
ARRIVAL_WINDOW_S: Final = 2.0


@dataclasses.dataclass
class Peer:
    """Another router as last heard of.

    :param card: what it tells about itself.
    :param last_heard_at: seconds at which it last sent a message, to this
        router or to one that relayed it; 0 for never.
    :param last_exchange_at: seconds at which it last exchanged messages with
        this router.
    :param router_load: how much comes to it, as it last told.
    :param budget_write_failed: whether it could not write budgets then.
    """

    card: PeerCard
    last_heard_at: float = 0
    last_exchange_at: float = 0
    router_load: RouterLoad = RouterLoad()
    budget_write_failed: bool = False


@dataclasses.dataclass
class ServingBoard:
    """What the parts of one router share. Each field names its writer.

    :param settings: of this process; ``serving.reload``.
    :param incarnation: random, fresh for this process start.
    :param started_at: seconds at which this process started.
    :param table: configuration in force; ``serving.configuration``.
    :param table_changed: set when another one came in force;
        ``serving.configuration``.
    :param encoded_table: the same, as it came; ``serving.configuration``.
    :param last_read_at: seconds at which a kind was last read whole, here or
        at a peer whose message arrived; ``serving.freshness``.
    :param read_started_at: seconds at which a read of a kind began that is not
        over; ``serving.freshness``.
    :param newest_peer_version: highest version of the configuration that a peer
        told of; ``serving.gossip``.
    :param revisions: of the store, by kind, up to which changes are known;
        ``serving.configuration`` and ``serving.backends``.
    :param servers: backend servers by the name of their start;
        ``serving.backends``.
    :param server_starts: the same, by id; ``serving.backends``.
    :param server_objects: their entries as the store holds them, by id;
        ``serving.backends``.
    :param server_state: how far these are known; ``serving.backends``.
    :param expired_until: seconds until which a server is kept whose entry
        expired while the store was unavailable, by name;
        ``serving.backends``.
    :param leaving: names of servers that are leaving; only ever grows while
        they are listed; ``serving.backends`` and ``serving.gossip``.
    :param cold_until: seconds until which a server counts as cold, by name;
        ``serving.cold_servers``.
    :param backpressure: what servers ask for in their answers;
        ``serving.backpressure``, ``serving.backends`` and ``serving.gossip``.
    :param evacuations: halls that are being emptied;
        ``serving.evacuations``.
    :param peers: other routers by instance; ``serving.members`` adds and
        removes them, ``serving.gossip`` hears from them.
    :param peers_read: set when the list of routers was read since the start;
        ``serving.members``.
    :param inflight: requests in progress; ``serving.application``.
    :param arrivals: requests that came; ``serving.application``.
    :param stopping: whether this router is about to end;
        ``serving.planned_stop``.
    :param stop_plan: how it ends, once it is stopping;
        ``serving.planned_stop``.
    :param store_unavailable_since: seconds at which the store stopped
        answering, 0 while it answers; ``serving.store_state``.
    :param budget_write_failed: whether the last write of a budget failed;
        ``serving.ledger_writer``.
    :param usual_times: how long requests take; ``serving.records`` and
        ``serving.application``.
    :param tasks: those of requests that were let in;
        ``serving.application``.
    :param watch: when the event loop ran; ``serving.loops``.
    :param loops: which loops failed; ``serving.supervision``.
    :param crashes: servers that ended, and under which requests;
        ``serving.crash_watch``, ``serving.crash_records`` and
        ``serving.gossip``.
    :param broken: sends that broke off lately; ``serving.crash_watch``.
    :param quarantined: requests that are not sent; ``serving.quarantines``.
    :param trials: requests that run alone; ``serving.quarantine``.
    """

    settings: InstanceSettings
    incarnation: str
    started_at: float = dataclasses.field(default_factory=read_clock)
    table: RoutingTable | None = None
    table_changed: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )
    encoded_table: bytes = b''
    last_read_at: dict[str, float] = dataclasses.field(default_factory=dict)
    read_started_at: dict[str, float] = dataclasses.field(default_factory=dict)
    newest_peer_version: int = 0
    revisions: dict[str, int] = dataclasses.field(default_factory=dict)
    servers: dict[str, BackendServer] = dataclasses.field(default_factory=dict)
    server_starts: dict[str, BackendServer] = dataclasses.field(
        default_factory=dict
    )
    server_objects: dict[str, StoreObject] = dataclasses.field(
        default_factory=dict
    )
    server_state: ListState = ListState()
    expired_until: dict[str, float] = dataclasses.field(default_factory=dict)
    leaving: set[str] = dataclasses.field(default_factory=set)
    cold_until: dict[str, float] = dataclasses.field(default_factory=dict)
    backpressure: backpressure_state.BackpressureState = dataclasses.field(
        default_factory=backpressure_state.BackpressureState
    )
    evacuations: Evacuations = Evacuations()
    peers: dict[str, Peer] = dataclasses.field(default_factory=dict)
    peers_read: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    inflight: int = 0
    arrivals: demand.Demand = dataclasses.field(
        default_factory=lambda: demand.Demand(ARRIVAL_WINDOW_S)
    )
    stopping: bool = False
    stop_plan: planned_stop.StopPlan | None = None
    store_unavailable_since: float = 0
    budget_write_failed: bool = False
    usual_times: route_times.RouteTimes = dataclasses.field(
        default_factory=route_times.RouteTimes
    )
    tasks: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)
    watch: event_loop_monitor.EventLoopMonitor = dataclasses.field(
        default_factory=lambda: event_loop_monitor.EventLoopMonitor(
            read_clock()
        )
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

    def get_version(self) -> int:
        """Tell the version of the configuration in force.

        :returns: its version; 0 for none.
        """
        return self.table.version if self.table else 0

    def make_card(self) -> PeerCard:
        """Describe this router to others.

        :returns: its card.
        """
        listeners = self.settings.listeners
        return PeerCard(
            instance=self.settings.name,
            incarnation=self.incarnation,
            hall=self.settings.hall,
            host=listeners.caller.host,
            caller_port=listeners.caller.port,
            peer_port=listeners.peer.port,
            revision=self.get_version(),
            inflight=self.inflight,
            leaving=self.stopping,
        )


def is_silent(board: ServingBoard, peer: Peer) -> bool:
    """Tell whether nothing was heard of a peer for a while.

    :param board: the blackboard.
    :param peer: the peer.
    :returns: whether it is silent.
    """
    scaled = PEER_TIMEOUT_PER_PEER_S * len(board.peers)
    patience = min(MAX_PEER_TIMEOUT_S, max(PEER_TIMEOUT_S, scaled))
    return read_clock() - peer.last_heard_at > patience


def mark_silent(board: ServingBoard, peer: Peer) -> bool:
    """Take note that a peer does not answer.

    :param board: the blackboard.
    :param peer: the peer.
    :returns: whether that is new.
    """
    if is_silent(board, peer):
        return False
    peer.last_heard_at = 0
    return True


def list_live_peers(board: ServingBoard) -> Iterator[Peer]:
    """List the peers that were heard of lately.

    :param board: the blackboard.
    :returns: the peers.
    """
    return (peer for peer in board.peers.values() if not is_silent(board, peer))
