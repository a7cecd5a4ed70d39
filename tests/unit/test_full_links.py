"""Routers whose link carries less than their callers ask for.

Requests that share a full link end at their deadlines, so that few are served
although the link could carry more.
"""

import asyncio
from typing import Any

from dykemast._internal.exceptions import PeerError
from dykemast._internal.serving.admission import checks
from dykemast._internal.serving.admission.in_progress import track_request
from dykemast._internal.serving.members.gossip import Gossip
from dykemast._internal.serving.members.gossip_messages import GossipMessages
from dykemast._internal.serving.requests.refusals import (
    RefusalCode,
    RefusedError,
)
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.state.loads import make_loads
from tests.lib.serving_boards import make_boards, mark_all_read
from tests.lib.stopping_boards import make_request

#: Requests in progress, and those of them that end.
IN_PROGRESS = 40
ENDED = 10
#: Exchanges, of which the fastest counts: a single one may meet a pause of the
#: process.
EXCHANGES = 4
#: Seconds that an exchange takes on links that are full, and that are not.
FULL_S = 0.15
FREE_S = 0.001


class LateGossip(Gossip):
    """Exchanges with peers that fail after some time."""

    def __init__(self, board: ServingBoard, delay: float) -> None:
        super().__init__(board, GossipMessages(board, make_loads()))
        self._delay = delay

    async def call(self, *words: Any, **limits: Any) -> bytes:
        await asyncio.sleep(self._delay)
        if self._delay > FREE_S:
            raise PeerError('no answer')
        return self._peer_news.build_message()


async def run_router(patience_s: float, exchange_s: float) -> ServingBoard:
    """Have a router exchange messages with a peer, and end requests."""
    board, _ = make_boards(2)
    mark_all_read(board)
    board.inflight = IN_PROGRESS
    peer = next(iter(board.peers.values()))
    for _ in range(EXCHANGES):
        await LateGossip(board, exchange_s).exchange_with(peer)
    for _ in range(ENDED):
        with track_request(board, make_request(patience_s=patience_s)):
            await asyncio.sleep(0)
    return board


def refuse(patience_s: float, exchange_s: float) -> RefusedError | None:
    """Find whether such a router refuses another request."""
    board = asyncio.run(run_router(patience_s, exchange_s))
    try:
        checks.check_preconditions(board)
    except RefusedError as error:
        return error
    return None


def test_requests_on_a_full_link_do_not_all_end_at_their_deadlines() -> None:
    error = refuse(patience_s=0, exchange_s=FULL_S)
    assert error
    assert error.code is RefusalCode.overloaded
    assert error.retry_after == checks.FULL_LINK_RETRY_S


def test_a_router_without_late_requests_admits_more_over_slow_links() -> None:
    assert not refuse(patience_s=10, exchange_s=FULL_S)


def test_servers_that_do_not_answer_do_not_make_all_routers_refuse() -> None:
    assert not refuse(patience_s=0, exchange_s=FREE_S)
