"""Calls to other routers, and the exchange of gossip messages with them."""

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

#: Far longer than links and a busy process take.
CALL_TIMEOUT_S: Final = 0.4


class Gossip:
    """Exchange of gossip messages between routers.

    :param board: the blackboard.
    :param messages: builds and applies messages.
    """

    def __init__(self, board: ServingBoard, messages: GossipMessages) -> None:
        """Create the client; no connection is opened yet."""
        self._board = board
        self._peer_news = messages
        self._client = PeerClient(None, Fleet)

    async def call(
        self,
        card: PeerCard,
        method: str,
        *arguments: Any,
        timeout: float = CALL_TIMEOUT_S,
    ) -> Any:
        """Call a peer.

        :param card: the peer.
        :param method: name of the call in the interface definition.
        :param arguments: its arguments.
        :param timeout: seconds to wait for the answer.
        :returns: the answer.
        :raises PeerError: when the call was not answered or was refused.
        """
        return await self._client.call(card, method, arguments, timeout)

    def close(self) -> None:
        """Close all connections to peers."""
        self._client.close()

    async def exchange_with(self, peer: Peer) -> None:
        """Exchange messages with a peer; a failure is logged.

        :param peer: the peer.
        """
        limit, asked_at = self._board.admission_limit, read_clock()
        peer.last_exchange_at = asked_at
        try:
            body = await self.call(
                peer.card, 'exchange', self._peer_news.build_message()
            )
        except PeerError as error:
            limit.record_exchange(CALL_TIMEOUT_S, read_clock())
            _log_lost(self._board, peer, error)
            return
        now = read_clock()
        limit.record_exchange(now - asked_at, now)
        message = self._peer_news.apply_message(body)
        if message:
            await fetch_newer(self.call, self._board, message, asked_at)


async def run_gossip(board: ServingBoard, gossip: Gossip) -> None:
    """Exchange messages with peers in rounds; never returns.

    A round does not wait for the previous one: each tries a silent peer, whose
    call fails after 0.4 s at the earliest. Waiting for it would slow gossip to
    a third of its pace while any peer is unreachable.

    :param board: the blackboard.
    :param gossip: exchanges the messages.
    """
    async with asyncio.TaskGroup() as exchanges:
        while True:
            for peer in choose_partners(board):
                exchanges.create_task(gossip.exchange_with(peer))
            await asyncio.sleep(draw_pause())


async def notify_all_peers(board: ServingBoard, gossip: Gossip) -> None:
    """Exchange messages with every peer at once.

    :param board: the blackboard.
    :param gossip: exchanges the messages.
    """
    peers = tuple(board.peers.values())
    await asyncio.gather(*(gossip.exchange_with(peer) for peer in peers))


def _log_lost(board: ServingBoard, peer: Peer, error: PeerError) -> None:
    if mark_silent(board, peer):
        _log('peer_lost', peer=peer.card.instance, reason=str(error))
