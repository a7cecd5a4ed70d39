"""Calls to other routers, and the exchange of news with them."""

import asyncio
import random
import time
from typing import Any, Final

import msgspec

from dykemast._internal.exceptions import PeerError
from dykemast._internal.models.fleet import PeerCard
from dykemast._internal.network.peer_client import PeerClient
from dykemast._internal.network.peer_codec import load_idl
from dykemast._internal.serving import configuration
from dykemast._internal.serving.board import (
    SILENCE,
    Peer,
    ServingBoard,
    is_silent,
)
from dykemast._internal.serving.peer_news import NewsDesk
from dykemast._internal.utils.events import make_logger

_log = make_logger('gossip')

#: Calls between routers of a deployment.
fleet_idl: Final = load_idl('fleet')
#: Seconds between two rounds of news, and how far a round may be off.
ROUND_PAUSE: Final = 0.2
ROUND_JITTER: Final = 0.04
#: Peers told in one round at most, so that the work of a router stays the
#: same however many there are.
PEERS_A_ROUND: Final = 8
#: Seconds to wait for a peer: links take 1 ms, a busy process some ten.
CALL_TIMEOUT: Final = 0.4


class Gossip:
    """Exchange of news between routers.

    :param board: the blackboard.
    :param desk: writes and takes news.
    """

    def __init__(self, board: ServingBoard, desk: NewsDesk) -> None:
        """Know nobody yet."""
        self._board = board
        self._desk = desk
        self._client = PeerClient(None, fleet_idl.Fleet)

    async def spread(self) -> None:
        """Exchange news with peers, for ever."""
        while True:
            due = self._list_due()
            await asyncio.gather(*(self._talk(peer) for peer in due))
            jitter = random.uniform(-ROUND_JITTER, ROUND_JITTER)
            await asyncio.sleep(ROUND_PAUSE + jitter)

    async def tell_all(self) -> None:
        """Tell every peer the news now."""
        peers = tuple(self._board.peers.values())
        await asyncio.gather(*(self._talk(peer) for peer in peers))

    async def call(self, card: PeerCard, method: str, *words: Any) -> Any:
        """Call a peer.

        :param card: the peer.
        :param method: name of the call in the interface definition.
        :param words: its arguments.
        :returns: the answer.
        :raises PeerError: when there was none, or it was refused.
        """
        return await self._client.call(card, method, words, CALL_TIMEOUT)

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
        try:
            body = await self.call(
                peer.card, 'exchange', self._desk.write_news()
            )
        except PeerError as error:
            _note_lost(peer, error)
            return
        try:
            self._desk.take_news(body)
        except msgspec.MsgspecError as error:
            _note_lost(peer, error)
            return
        if peer.card.revision > self._board.count_version():
            await self._fetch_configuration(peer.card)

    async def _fetch_configuration(self, card: PeerCard) -> None:
        newest = self._board.count_version()
        try:
            body = await self.call(card, 'newer_configuration', newest)
        except PeerError as error:
            _log('no_configuration', peer=card.instance, reason=str(error))
            return
        if body:
            configuration.take_from_peer(self._board, body, card.instance)


def _note_lost(peer: Peer, error: Exception) -> None:
    if peer.heard_at and not is_silent(peer):
        _log('peer_lost', peer=peer.card.instance, reason=str(error))
        peer.heard_at = time.monotonic() - SILENCE
