"""What one message among routers carries."""

import random
from typing import Final

from dykemast._internal.blackboard import Fleet, PeerView
from dykemast._internal.operations.peers import PEER_TIMEOUT

#: Cards of others that one message carries, whatever the fleet's size.
CARDS_IN_NEWS: Final = 8


def choose_news(
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
