"""Choice of the contents and receivers of messages between routers."""

import random
from typing import Final

from dykemast._internal.blackboard import Blackboard, Fleet, PeerView
from dykemast._internal.models.fleet import Instance, PeerCard
from dykemast._internal.operations.instance_list import ROUTER_ROLE
from dykemast._internal.operations.peers import PEER_TIMEOUT_S

#: Bounds the size of a message in a fleet of any size.
MAX_CARDS: Final = 8


def choose_cards(
    fleet: Fleet,
    now: float,
    chance: random.Random,
) -> list[PeerView]:
    """Choose the peers whose cards go into a message.

    :param fleet: section of the blackboard.
    :param now: seconds.
    :param chance: source of randomness.
    :returns: a random sample of the peers within the timeout.
    """
    fresh = [
        view
        for view in fleet.peers.values()
        if now - view.heard_at < PEER_TIMEOUT_S
    ]
    return chance.sample(fresh, min(MAX_CARDS, len(fresh)))


def list_gossip_targets(board: Blackboard) -> list[PeerCard]:
    """List the routers to exchange messages with.

    :param board: the blackboard.
    :returns: cards with the addresses of all routers that the platform lists.
    """
    own = board.settings['instance']
    return [
        _guess_card(instance)
        for instance in board.fleet.instances
        if instance.role == ROUTER_ROLE and instance.name != own
    ]


def _guess_card(instance: Instance) -> PeerCard:
    """Make a card of a listed router that has its address only."""
    return PeerCard(
        instance=instance.name,
        incarnation=f'{instance.host}:{instance.port}',
        hall=instance.hall,
        host=instance.host,
        caller_port=0,
        peer_port=instance.port,
    )
