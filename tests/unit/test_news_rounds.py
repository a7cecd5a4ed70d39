"""Unreachable peers do not slow gossip down.

Each round tries a silent peer. When rounds waited for all of their exchanges,
one unreachable peer made each take 0.6 s instead of 0.2 s, which delayed loads,
removed servers and ages.
"""

import asyncio

from dykemast._internal.serving.members import gossip, gossip_partners
from dykemast._internal.serving.state.board import Peer
from tests.lib.serving_boards import make_boards

#: Seconds for which rounds are counted.
MEASURED_S = 1.0


class SlowExchanges:
    """Exchanges that are slow with silent peers."""

    def __init__(self) -> None:
        self.live = 0
        self.slow = 0

    async def exchange_with(self, peer: Peer) -> None:
        if peer.last_heard_at:
            self.live += 1
            return
        self.slow += 1
        await asyncio.sleep(gossip.CALL_TIMEOUT_S)


async def test_an_unreachable_peer_delays_no_round() -> None:
    board = make_boards(3)[0]
    board.peers['node-2'].last_heard_at = 0
    exchanges = SlowExchanges()
    work = asyncio.create_task(gossip.run_gossip(board, exchanges))
    await asyncio.sleep(MEASURED_S)
    work.cancel()
    # Formerly only two exchanges per second.
    rounds = MEASURED_S / (
        gossip_partners.ROUND_INTERVAL_S + gossip_partners.ROUND_JITTER_S
    )
    assert exchanges.live >= int(rounds)
    assert exchanges.slow >= int(rounds), 'each round tries the silent peer'


class FailingExchanges:
    """Exchanges that fail with an unexpected error."""

    async def exchange_with(self, peer: Peer) -> None:
        raise AttributeError(peer.card.instance)


async def test_an_error_in_an_exchange_ends_the_loop_to_be_run_again() -> None:
    board = make_boards(2)[0]
    try:
        async with asyncio.timeout(MEASURED_S):
            await gossip.run_gossip(board, FailingExchanges())
    except ExceptionGroup as errors:
        assert errors.subgroup(AttributeError)
    else:
        raise AssertionError('the loop continued after an unexpected error')
