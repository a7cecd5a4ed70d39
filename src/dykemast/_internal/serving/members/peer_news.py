"""News of this router, and what is taken from those of others."""

from dykemast._internal.exceptions import NotUsableError
from dykemast._internal.models.news import News, RelayedLoads
from dykemast._internal.serving.knowledge import ages, backends
from dykemast._internal.serving.knowledge.evacuations import take_evacuations
from dykemast._internal.serving.members import members, strain
from dykemast._internal.serving.state.board import ServingBoard, is_silent
from dykemast._internal.serving.state.fleet_size import is_large
from dykemast._internal.serving.state.loads import Loads
from dykemast._internal.serving.state.quarantines import (
    apply_crash_gossip,
    build_crash_gossip,
)
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger
from dykemast._internal.utils.packing import FAST, pack, unpack

_log = make_logger('gossip')


class PeerNews:
    """Writes this router's news and takes those of others.

    :param board: the blackboard.
    :param loads: requests at backend servers.
    """

    def __init__(self, board: ServingBoard, loads: Loads) -> None:
        """Keep both."""
        self._board = board
        self._loads = loads

    def write_news(self) -> bytes:
        """Write this router's news.

        :returns: their body.
        """
        news = News(
            card=self._board.make_card(),
            leaving=tuple(self._board.leaving),
            loads=self._loads.own.export_all(),
            relayed=self._relay(),
            prompts=self._loads.caches.export(read_clock()),
            ages=ages.tell_ages(self._board),
            servers=self._board.server_state,
            strain=strain.measure_strain(self._board),
            absent=self._loads.absent.export(read_clock()),
            pauses=self._loads.pauses.export(read_clock()),
            crashes=build_crash_gossip(self._board),
            evacuations=self._board.evacuations,
            budgets_away=self._board.budgets_away,
            limits=self._board.backpressure.limits.export(read_clock()),
        )
        # Packed to half, for little processor time: news are most of what
        # passes between halls in calm.
        return pack(news, FAST)

    def take_news(self, body: bytes) -> News | None:
        """Take a peer's news; those that make no sense are logged.

        How old its knowledge is only counts in an answer (``note_ages``): how
        long ago news were written that came by themselves is not known.

        :param body: as it wrote them.
        :returns: the news; None when they are of no use.
        """
        try:
            news = unpack(body, News)
        except NotUsableError as error:
            _log('news_not_usable', reason=str(error))
            return None
        self._take(news)
        return news

    def _take(self, news: News) -> None:
        card = news.card
        members.meet_peer(self._board, card)
        peer = self._board.peers.get(card.instance)
        if peer is None:
            return
        if is_silent(self._board, peer):
            _log('peer_heard', peer=card.instance, version=card.revision)
        peer.card = card
        peer.heard_at = read_clock()
        peer.met_at = peer.heard_at
        peer.strain = news.strain
        peer.budgets_away = news.budgets_away
        self._take_servers(news, peer.heard_at)
        self._take_loads(news, peer.heard_at)
        self._board.heard_version = max(
            self._board.heard_version, card.revision
        )
        apply_crash_gossip(self._board, news.crashes, card.instance)
        take_evacuations(self._board, news.evacuations, card.instance)

    def _take_servers(self, news: News, now: float) -> None:
        source = news.card.instance
        backends.note_leaving(self._board, news.leaving, source)
        self._board.backpressure.limits.merge(news.limits, now)
        self._loads.caches.merge(news.prompts)
        self._loads.absent.merge(news.absent, now)
        self._loads.pauses.merge(source, news.pauses, now)

    def _take_loads(self, news: News, now: float) -> None:
        loads = self._loads.peers
        loads.merge(news.card.instance, news.loads, now)
        loads.merge_relayed(news.relayed, self._board.settings.name, now)
        for one in news.relayed:
            peer = self._board.peers.get(one.instance)
            if peer:
                peer.heard_at = max(peer.heard_at, now - one.age)

    def _relay(self) -> tuple[RelayedLoads, ...]:
        if not is_large(self._board):
            # Every router hears of all others in each round.
            return ()
        return self._loads.peers.export_recent(read_clock())
