"""Gossip between routers: which are live and which are leaving.

Writes the peers in the fleet section of the shared state.
"""

import asyncio
import random
from typing import Any, Final

import logbook

from dykemast._internal.blackboard import Blackboard, PeerView
from dykemast._internal.exceptions import DykemastError
from dykemast._internal.models.fleet import PeerCard
from dykemast._internal.network import peer_codec
from dykemast._internal.network.peer_client import PeerClient
from dykemast._internal.operations import peers
from dykemast._internal.operations.news import choose_cards, list_gossip_targets
from dykemast._internal.utils.clock import read_clock

_log = logbook.Logger('member')

GOSSIP_INTERVAL_S: Final = 1.0
#: Peers contacted in one gossip round, whatever the fleet's size.
GOSSIP_FANOUT: Final = 3


class GossipExchange:
    """Gossip with other routers.

    :param board: shared state of the router.
    :param client: calls to other routers.
    """

    def __init__(self, board: Blackboard, client: PeerClient) -> None:
        """Seed the choice of peers with the incarnation."""
        self._board = board
        self._client = client
        self._beat = 0
        self._chance = random.Random(board.incarnation)

    async def run(self) -> None:
        """Run gossip rounds until cancelled."""
        while True:
            await self.spread()
            await asyncio.sleep(GOSSIP_INTERVAL_S)

    async def handle_gossip(self, message: Any) -> Any:
        """Merge a peer's gossip message and return this router's.

        :param message: a ``Gossip``.
        :returns: a ``Gossip``.
        """
        fleet = self._board.fleet
        now = read_clock()
        for card in message.cards:
            if card.instance != self._board.settings['instance']:
                peers.record_card(
                    fleet, peer_codec.unpack_card(card), card.beat, now
                )
        listed = {instance.name for instance in fleet.instances}
        fleet.leaving.update(set(message.leaving) & listed)
        return self._make_message()

    async def spread(self) -> None:
        """Run a gossip round with some peers, including those only listed."""
        targets = list_gossip_targets(self._board)
        count = min(GOSSIP_FANOUT, len(targets))
        await asyncio.gather(
            *(
                self._exchange_with(card)
                for card in self._chance.sample(targets, count)
            )
        )

    async def _exchange_with(self, card: PeerCard) -> None:
        try:
            message = await self._client.call(
                card, 'exchange', (self._make_message(),)
            )
        except DykemastError as error:
            _log.debug('member: gossip with a peer failed: {}', error)
            # Callers and owned shards move to other routers at once; the next
            # heartbeat, direct or relayed by a peer, restores it.
            peers.mark_unreachable(self._board.fleet, card.instance)
            return
        await self.handle_gossip(message)

    def _make_message(self) -> Any:
        self._beat += 1
        fleet = self._board.fleet
        now = read_clock()
        mine = PeerView(peers.make_card(self._board), self._beat, now)
        views = [mine, *choose_cards(fleet, now, self._chance)]
        return peer_codec.peer_thrift.Gossip(
            cards=[peer_codec.pack_view(view) for view in views],
            leaving=sorted(fleet.leaving),
        )
