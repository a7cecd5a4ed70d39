"""Age of a router's copy of store objects.

Routers send each other the age of their copies. A message waits in the buffers
of a router without processor time, so its age may not be counted from the time
of reading.
"""

import time
from typing import Any

from dykemast._internal.operations.freshness import Freshness, is_read_late
from dykemast._internal.platform.configuration import CONFIGURATION_KIND
from dykemast._internal.platform.store_types import StoreObject
from dykemast._internal.serving.knowledge.configuration import (
    apply_configuration,
)
from dykemast._internal.serving.knowledge import cache_freshness
from dykemast._internal.serving.members import peer_fetches, gossip_messages
from dykemast._internal.serving.state.loads import make_loads
from dykemast._internal.utils.clock import read_clock
from tests.lib.serving_boards import make_boards
from tests.lib.users_objects import make_configuration

#: Seconds for which a message waits.
WAITED_S = 0.3


def test_a_delayed_message_does_not_make_an_old_copy_fresh() -> None:
    board, peer = make_boards(2)
    peer.last_read_at[CONFIGURATION_KIND] = read_clock()
    read_at = peer.last_read_at[CONFIGURATION_KIND]
    message = gossip_messages.GossipMessages(peer, make_loads()).build_message()
    time.sleep(WAITED_S)
    gossip_messages.GossipMessages(board, make_loads()).apply_message(message)
    least = read_clock() - read_at
    assert cache_freshness.compute_age(board, CONFIGURATION_KIND) >= least


def make_known(**fields: Any) -> Freshness:
    known = Freshness(1, 2, outdated=False, store_away=False)
    return known._replace(**fields)


def test_a_current_copy_decides() -> None:
    known = make_known()
    assert known.may_serve()
    assert known.may_refuse_permanently()


def test_an_outdated_copy_refuses_nothing_permanently() -> None:
    assert not make_known(age=3).may_refuse_permanently()
    assert not make_known(outdated=True).may_refuse_permanently()
    assert make_known(outdated=True).may_serve()


def test_the_last_copy_serves_while_the_store_is_unavailable() -> None:
    assert not make_known(age=3).may_serve()
    unavailable = make_known(age=3, store_away=True)
    assert unavailable.may_serve()
    assert not unavailable.may_refuse_permanently()


def test_a_read_is_late_by_the_store_or_by_this_router() -> None:
    assert is_read_late(0.4, 0)
    assert not is_read_late(0.2, 0)
    # An event loop that is late at each iteration delays the call by 2 s.
    assert not is_read_late(2, 0.2)
    assert is_read_late(3, 0.2)


def test_the_answer_of_a_peer_gives_the_age_of_a_copy() -> None:
    board, peer = make_boards(2)
    asked_at = read_clock()
    peer.last_read_at[CONFIGURATION_KIND] = asked_at - 1
    body = gossip_messages.GossipMessages(peer, make_loads()).build_message()
    message = gossip_messages.GossipMessages(board, make_loads()).apply_message(
        body
    )
    assert message
    time.sleep(WAITED_S)
    peer_fetches.record_peer_ages(board, message, asked_at)
    assert (
        1 + WAITED_S
        <= cache_freshness.compute_age(board, CONFIGURATION_KIND)
        <= 2
    )


def test_a_newer_version_at_a_peer_ends_permanent_refusals() -> None:
    board, peer = make_boards(2)
    stored = StoreObject('main', 9, make_configuration(version=9))
    apply_configuration(peer, stored, 'store')
    board.last_read_at[CONFIGURATION_KIND] = read_clock()
    assert cache_freshness.get_configuration_freshness(
        board
    ).may_refuse_permanently()
    gossip_messages.GossipMessages(board, make_loads()).apply_message(
        gossip_messages.GossipMessages(peer, make_loads()).build_message()
    )
    assert not cache_freshness.get_configuration_freshness(
        board
    ).may_refuse_permanently()
