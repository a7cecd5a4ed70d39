"""Gossip messages: built by this router, applied from others."""

from dykemast._internal.exceptions import InvalidDataError
from dykemast._internal.models.gossip import GossipMessage, RelayedLoads
from dykemast._internal.platform.store_types import split_position
from dykemast._internal.serving.knowledge import (
    backends,
    cache_freshness,
    store_answers,
)
from dykemast._internal.serving.knowledge.evacuations import apply_evacuations
from dykemast._internal.serving.members import (
    load_measurement,
    members,
    own_entry,
)
from dykemast._internal.serving.state.board import (
    ServingBoard,
    is_silent,
    is_large_fleet,
)
from dykemast._internal.serving.state.loads import Loads
from dykemast._internal.serving.state.quarantines import (
    apply_crash_gossip,
    build_crash_gossip,
)
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger
from dykemast._internal.utils.packing import FAST_COMPRESSION, pack, unpack

_log = make_logger('gossip')


class GossipMessages:
    """Builds this router's messages and applies those of others.

    :param board: the blackboard.
    :param loads: requests at backend servers.
    """

    def __init__(self, board: ServingBoard, loads: Loads) -> None:
        """Refer to the state that messages report and change."""
        self._board = board
        self._loads = loads

    def build_message(self) -> bytes:
        """Build this router's message.

        :returns: the packed message.
        """
        message = GossipMessage(
            card=own_entry.make_card(self._board),
            leaving=tuple(self._board.leaving),
            loads=self._loads.own.export_all(),
            relayed=self._relay(),
            prompts=self._loads.caches.export(read_clock()),
            ages=cache_freshness.compute_ages(self._board),
            servers=self._board.server_state,
            router_load=load_measurement.measure_router_load(self._board),
            absent=self._loads.absent.export(read_clock()),
            pauses=self._loads.pauses.export(read_clock()),
            crashes=build_crash_gossip(self._board),
            evacuations=self._board.evacuations,
            budget_write_failed=self._board.budget_write_failed,
            limits=self._board.backpressure.limits.export(read_clock()),
        )
        # Fast compression halves the size for little processor time: messages
        # are most of the traffic between halls when there are few requests.
        return pack(message, FAST_COMPRESSION)

    def apply_message(self, body: bytes) -> GossipMessage | None:
        """Apply a peer's message; an invalid one is logged.

        The ages in it are used only where it answers a call
        (``record_peer_ages``): how long ago an unrequested message was
        written is not known.

        :param body: the packed message.
        :returns: the message; None when it is invalid.
        """
        try:
            message = unpack(body, GossipMessage)
        except InvalidDataError as error:
            _log('news_not_usable', reason=str(error))
            return None
        self._apply(message)
        return message

    def _apply(self, message: GossipMessage) -> None:
        card = message.card
        members.record_peer(self._board, card)
        peer = self._board.peers.get(card.instance)
        if peer is None:
            return
        if is_silent(self._board, peer):
            _log('peer_heard', peer=card.instance, version=card.revision)
        peer.card = card
        peer.last_heard_at = read_clock()
        peer.last_exchange_at = peer.last_heard_at
        peer.router_load = message.router_load
        peer.budget_write_failed = message.budget_write_failed
        peer.store_era = _note_era(self._board, message)
        self._apply_servers(message, peer.last_heard_at)
        self._apply_loads(message, peer.last_heard_at)
        self._board.newest_peer_version = max(
            self._board.newest_peer_version, card.revision
        )
        apply_crash_gossip(self._board, message.crashes, card.instance)
        apply_evacuations(self._board, message.evacuations, card.instance)

    def _apply_servers(self, message: GossipMessage, now: float) -> None:
        source = message.card.instance
        backends.mark_leaving(self._board, message.leaving, source)
        self._board.backpressure.limits.merge(message.limits, now)
        self._loads.caches.merge(message.prompts)
        self._loads.absent.merge(message.absent, now)
        self._loads.pauses.merge(source, message.pauses, now)

    def _apply_loads(self, message: GossipMessage, now: float) -> None:
        loads = self._loads.peers
        loads.merge(message.card.instance, message.loads, now)
        loads.merge_relayed(message.relayed, self._board.settings.name, now)
        for one in message.relayed:
            peer = self._board.peers.get(one.instance)
            if peer:
                peer.last_heard_at = max(peer.last_heard_at, now - one.age)

    def _relay(self) -> tuple[RelayedLoads, ...]:
        if not is_large_fleet(self._board):
            # Each router exchanges messages with all others in each round.
            return ()
        return self._loads.peers.export_recent(read_clock())


def _note_era(board: ServingBoard, message: GossipMessage) -> int:
    newest = max(message.servers.position, message.evacuations.position)
    era, _ = split_position(newest)
    store_answers.note_era(board, era, message.card.instance)
    return era
