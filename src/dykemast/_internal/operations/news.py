"""What one message among routers carries."""

import random
from typing import Final

from dykemast._internal.blackboard import Blackboard, Fleet, PeerView
from dykemast._internal.models.fleet import Instance, PeerCard
from dykemast._internal.operations.instance_list import ROUTER_ROLE
from dykemast._internal.operations.peers import PEER_TIMEOUT

#: Cards of others that one message carries, whatever the fleet's size.
CARDS_IN_NEWS: Final = 8


def choose_cards(
    fleet: Fleet,
    now: float,
    chance: random.Random,
) -> list[PeerView]:
    """Choose the peers whose cards go into a message.

    :param fleet: section of the blackboard.
    :param now: seconds.
    :param chance: source of randomness.
    :returns: a bounded number of peers heard of lately.
    """
    fresh = [
        view
        for view in fleet.peers.values()
        if now - view.heard_at < PEER_TIMEOUT
    ]
    return chance.sample(fresh, min(CARDS_IN_NEWS, len(fresh)))


def list_gossip_targets(board: Blackboard) -> list[PeerCard]:
    """List the routers to exchange news with, also those only listed yet.

    :param board: the blackboard.
    :returns: cards that suffice to call them.
    """
    own = board.settings['instance']
    return [
        _guess_card(instance)
        for instance in board.fleet.instances
        if instance.role == ROUTER_ROLE and instance.name != own
    ]


def _guess_card(instance: Instance) -> PeerCard:
    """Make a card that suffices to call a router that is only listed."""
    return PeerCard(
        instance=instance.name,
        incarnation=f'{instance.host}:{instance.port}',
        hall=instance.hall,
        host=instance.host,
        caller_port=0,
        peer_port=instance.port,
    )
