"""News between routers, and calls to them."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any, Final

import msgspec

from dykemast._internal.exceptions import PeerError
from dykemast._internal.models.fleet import PeerCard
from dykemast._internal.models.budget_ledger import BudgetLedger
from dykemast._internal.models.news import News
from dykemast._internal.network.peer_client import PeerClient
from dykemast._internal.network.peer_codec import load_idl
from dykemast._internal.network.peer_server import listen
from dykemast._internal.serving import (
    backends,
    configuration,
    freshness,
    members,
)
from dykemast._internal.serving.board import (
    SILENCE,
    Peer,
    ServingBoard,
    is_silent,
)
from dykemast._internal.serving.loads import Loads
from dykemast._internal.utils.events import make_logger

_log = make_logger('gossip')
_fleet_idl: Final = load_idl('fleet')

#: Seconds between two rounds of news.
ROUND_PAUSE: Final = 0.2
#: Peers told in one round at most, so that the work of a router stays the
#: same however many there are.
PEERS_A_ROUND: Final = 8
#: Seconds to wait for a peer: links take 1 ms, a busy process some ten.
CALL_TIMEOUT: Final = 0.4
#: Peers asked for spare tokens on behalf of one request at most.
MAX_LENDERS: Final = 6

Lend = Callable[[str, int], Awaitable[int]]


class Gossip:
    """News between routers.

    :param board: the blackboard.
    :param loads: requests at backend servers, here and elsewhere.
    """

    def __init__(self, board: ServingBoard, loads: Loads) -> None:
        """Know nobody yet."""
        self._board = board
        self._loads = loads
        self._client = PeerClient(None, _fleet_idl.Fleet)
        self._lend: Lend | None = None

    async def open_server(self) -> Any:
        """Listen for other routers.

        :returns: the listening server.
        """
        host, port = self._board.settings.listeners.peer
        return await listen(
            _fleet_idl.Fleet,
            _Calls(self._exchange, self._give, self._tell),
            host,
            port,
        )

    def serve_loans(self, lend: Lend) -> None:
        """Set who answers peers that ask for tokens.

        :param lend: takes a workspace and tokens; returns how many it gave.
        """
        self._lend = lend

    async def spread(self) -> None:
        """Exchange news with peers, for ever."""
        while True:
            due = self._list_due()
            await asyncio.gather(*(self._talk(peer) for peer in due))
            await asyncio.sleep(ROUND_PAUSE * random.uniform(0.8, 1.2))

    async def tell_all(self) -> None:
        """Tell every peer the news now."""
        peers = tuple(self._board.peers.values())
        await asyncio.gather(*(self._talk(peer) for peer in peers))

    def list_lenders(self, ledger: BudgetLedger | None) -> list[PeerCard]:
        """List peers that may have spare tokens, the richest first.

        :param ledger: the budget as last seen.
        :returns: their cards.
        """
        rows = ledger.rows if ledger else {}
        spare = {row.instance: row.limit - row.spent for row in rows.values()}
        peers = [
            peer.card
            for peer in self._board.peers.values()
            if spare.get(peer.card.instance) and not is_silent(peer)
        ]
        peers.sort(key=lambda card: -spare[card.instance])
        return peers[:MAX_LENDERS]

    async def borrow(self, peer: PeerCard, workspace: str, tokens: int) -> int:
        """Ask a peer for spare tokens.

        :param peer: the peer.
        :param workspace: whose budget they are of.
        :param tokens: how many are wanted.
        :returns: how many it gave; 0 when it did not answer, in which case
            the tokens are lost rather than used twice.
        """
        words = (workspace, tokens)
        try:
            return await self._client.call(peer, 'lend', words, CALL_TIMEOUT)
        except PeerError as error:
            _log('loan_failed', peer=peer.instance, reason=str(error))
            return 0

    def close(self) -> None:
        """Close all connections to peers."""
        self._client.close()

    def _list_due(self) -> list[Peer]:
        # Each exchange goes both ways, so whoever is first saves the other.
        limit = time.monotonic() - ROUND_PAUSE
        due = [
            peer for peer in self._board.peers.values() if peer.heard_at < limit
        ]
        return random.sample(due, min(PEERS_A_ROUND, len(due)))

    async def _talk(self, peer: Peer) -> None:
        words = (self._encode_news(),)
        try:
            body = await self._client.call(
                peer.card, 'exchange', words, CALL_TIMEOUT
            )
            self._take_news(body)
        except (PeerError, msgspec.MsgspecError) as error:
            if peer.heard_at and not is_silent(peer):
                _log('peer_lost', peer=peer.card.instance, reason=str(error))
                peer.heard_at = time.monotonic() - SILENCE
            return
        if peer.card.revision > self._count_version():
            await self._fetch_configuration(peer.card)

    async def _fetch_configuration(self, card: PeerCard) -> None:
        words = (self._count_version(),)
        try:
            body = await self._client.call(
                card, 'newer_configuration', words, CALL_TIMEOUT
            )
            if body:
                configuration.take_from_peer(self._board, body, card.instance)
        except (PeerError, configuration.ConfigurationError) as error:
            _log('no_configuration', peer=card.instance, reason=str(error))

    def _encode_news(self) -> bytes:
        news = News(
            card=self._board.make_card(),
            leaving=tuple(self._board.leaving),
            loads=self._loads.tell_loads(),
            prompts=self._loads.tell_prompts(),
            ages=freshness.tell_ages(self._board),
        )
        return msgspec.msgpack.encode(news)

    def _take_news(self, body: bytes) -> None:
        news = msgspec.msgpack.decode(body, type=News)
        card = news.card
        members.meet_peer(self._board, card)
        peer = self._board.peers.get(card.instance)
        if peer is None:
            return
        if not peer.heard_at or is_silent(peer):
            _log('peer_heard', peer=card.instance, version=card.revision)
        peer.card = card
        peer.heard_at = time.monotonic()
        backends.note_leaving(self._board, news.leaving, card.instance)
        self._loads.take_news(news)
        if self._count_version() >= card.revision:
            # Else the newer configuration has to be fetched first.
            freshness.note_ages(self._board, news.ages)

    def _count_version(self) -> int:
        return self._board.table.version if self._board.table else 0

    async def _exchange(self, body: bytes) -> bytes:
        self._take_news(body)
        return self._encode_news()

    async def _give(self, workspace: str, tokens: int) -> int:
        return await self._lend(workspace, tokens) if self._lend else 0

    async def _tell(self, above: int) -> bytes:
        table = self._board.table
        return self._board.table_raw if table and table.version > above else b''


class _Calls:
    """What other routers may call, by the names of the interface."""

    def __init__(
        self,
        exchange: Callable[[bytes], Awaitable[bytes]],
        lend: Lend,
        newer_configuration: Callable[[int], Awaitable[bytes]],
    ) -> None:
        self.exchange = exchange
        self.lend = lend
        self.newer_configuration = newer_configuration
