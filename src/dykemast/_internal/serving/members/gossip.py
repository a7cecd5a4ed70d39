"""Calls to other routers, and the exchange of news with them."""

import asyncio
from typing import Any, Final

from dykemast._internal.exceptions import PeerError
from dykemast._internal.models.fleet import PeerCard
from dykemast._internal.network.fleet_calls import Fleet
from dykemast._internal.network.peer_client import PeerClient
from dykemast._internal.serving.state.board import (
    Peer,
    ServingBoard,
    mark_silent,
)
from dykemast._internal.serving.members.gossip_partners import (
    choose_partners,
    draw_pause,
)
from dykemast._internal.serving.members.peer_fetches import fetch_newer
from dykemast._internal.serving.members.gossip_messages import GossipMessages
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('gossip')

#: Seconds to wait for a peer: links take 1 ms, a busy process some ten.
CALL_TIMEOUT_S: Final = 0.4


class Gossip:
    """Exchange of news between routers.

    :param board: the blackboard.
    :param messages: writes and takes news.
    """

    def __init__(self, board: ServingBoard, messages: GossipMessages) -> None:
        """Know nobody yet."""
        self._board = board
        self._peer_news = messages
        self._client = PeerClient(None, Fleet)

    async def call(
        self,
        card: PeerCard,
        method: str,
        *words: Any,
        timeout: float = CALL_TIMEOUT_S,
    ) -> Any:
        """Call a peer.

        :param card: the peer.
        :param method: name of the call in the interface definition.
        :param words: its arguments.
        :param timeout: seconds to wait.
        :returns: the answer.
        :raises PeerError: when there was none, or it was refused.
        """
        return await self._client.call(card, method, words, timeout)

    def close(self) -> None:
        """Close all connections to peers."""
        self._client.close()

    async def exchange_with(self, peer: Peer) -> None:
        """Exchange news with a peer; a failure is logged.

        :param peer: the peer.
        """
        asked_at = read_clock()
        peer.last_exchange_at = asked_at
        try:
            body = await self.call(
                peer.card, 'exchange', self._peer_news.build_message()
            )
        except PeerError as error:
            _note_lost(self._board, peer, error)
            return
        message = self._peer_news.apply_message(body)
        if message:
            await fetch_newer(self.call, self._board, message, asked_at)


async def run_gossip(board: ServingBoard, gossip: Gossip) -> None:
    """Exchange news with peers, for ever.

    A round does not wait for the one before: a peer that is gone answers
    after 0.4 s at the earliest, and as each round tries one that is silent,
    news went round at a third of their pace while any peer was away.

    :param board: the blackboard.
    :param gossip: exchanges news.
    """
    async with asyncio.TaskGroup() as talks:
        while True:
            for peer in choose_partners(board):
                talks.create_task(gossip.exchange_with(peer))
            await asyncio.sleep(draw_pause())


async def notify_all_peers(board: ServingBoard, gossip: Gossip) -> None:
    """Tell every peer the news now.

    :param board: the blackboard.
    :param gossip: exchanges news.
    """
    peers = tuple(board.peers.values())
    await asyncio.gather(*(gossip.exchange_with(peer) for peer in peers))


def _note_lost(board: ServingBoard, peer: Peer, error: PeerError) -> None:
    if mark_silent(board, peer):
        _log('peer_lost', peer=peer.card.instance, reason=str(error))
