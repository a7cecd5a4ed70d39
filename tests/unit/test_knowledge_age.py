"""How old a router takes its knowledge of the store to be.

Routers tell each other how old their knowledge is. What a router without
processor time reads has waited in its buffers, and its age was counted from
when it was read: in three runs by hand a configuration that had been replaced
1.3, 2.1 and 3.7 s before passed for one of 0.1, 0.9 and 1.2 s.
"""

import time
from typing import Any

from dykemast._internal.operations.freshness import Freshness, is_read_late
from dykemast._internal.platform.configuration import CONFIGURATION_KIND
from dykemast._internal.platform.store_types import StoreObject
from dykemast._internal.serving.knowledge.configuration import (
    apply_configuration,
)
from dykemast._internal.serving.knowledge import ages, cache_freshness
from dykemast._internal.serving.members import peer_fetches, gossip_messages
from dykemast._internal.serving.state.loads import make_loads
from dykemast._internal.utils.clock import read_clock
from tests.lib.serving_boards import make_boards
from tests.lib.users_objects import make_configuration

#: Seconds for which news wait.
WAITED = 0.3


def test_news_that_waited_do_not_make_old_knowledge_young() -> None:
    board, peer = make_boards(2)
    peer.last_read_at[CONFIGURATION_KIND] = read_clock()
    read_at = peer.last_read_at[CONFIGURATION_KIND]
    message = gossip_messages.GossipMessages(peer, make_loads()).build_message()
    time.sleep(WAITED)
    gossip_messages.GossipMessages(board, make_loads()).apply_message(message)
    least = read_clock() - read_at
    assert ages.compute_age(board, CONFIGURATION_KIND) >= least


def make_known(**fields: Any) -> Freshness:
    known = Freshness(1, 2, outdated=False, store_away=False)
    return known._replace(**fields)


def test_what_is_current_decides() -> None:
    known = make_known()
    assert known.may_serve()
    assert known.may_refuse_permanently()


def test_what_may_be_outdated_refuses_nothing_for_good() -> None:
    assert not make_known(age=3).may_refuse_permanently()
    assert not make_known(outdated=True).may_refuse_permanently()
    assert make_known(outdated=True).may_serve()


def test_what_was_last_known_serves_while_the_store_is_away() -> None:
    assert not make_known(age=3).may_serve()
    away = make_known(age=3, store_away=True)
    assert away.may_serve()
    assert not away.may_refuse_permanently()


def test_a_read_is_late_by_the_store_or_by_this_router() -> None:
    assert is_read_late(0.4, 0)
    assert not is_read_late(0.2, 0)
    # A loop that is late at each turn of the call takes 2 s by itself.
    assert not is_read_late(2, 0.2)
    assert is_read_late(3, 0.2)


def test_a_peer_that_is_asked_tells_how_old_knowledge_is() -> None:
    board, peer = make_boards(2)
    asked_at = read_clock()
    peer.last_read_at[CONFIGURATION_KIND] = asked_at - 1
    body = gossip_messages.GossipMessages(peer, make_loads()).build_message()
    message = gossip_messages.GossipMessages(board, make_loads()).apply_message(
        body
    )
    assert message
    time.sleep(WAITED)
    peer_fetches.record_peer_ages(board, message, asked_at)
    assert 1 + WAITED <= ages.compute_age(board, CONFIGURATION_KIND) <= 2


def test_a_newer_version_that_is_told_of_ends_refusals_for_good() -> None:
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
