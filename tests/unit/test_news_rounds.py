"""News go round at their pace while peers are away.

Each round waited for all of its exchanges, and each tries a peer that is
silent: with one of them away, a round took 0.6 s in place of 0.2 s, and with
it all that routers tell each other: loads, servers that are gone, ages.
"""

import asyncio

from dykemast._internal.serving.members import gossip, gossip_partners
from dykemast._internal.serving.state.board import Peer
from tests.lib.serving_boards import make_boards

#: Seconds for which rounds are counted.
WATCHED = 1.0


class SlowTalks:
    """Exchanges of which those with silent peers end late."""

    def __init__(self) -> None:
        self.heard = 0
        self.late = 0

    async def exchange_with(self, peer: Peer) -> None:
        if peer.last_heard_at:
            self.heard += 1
            return
        self.late += 1
        await asyncio.sleep(gossip.CALL_TIMEOUT_S)


async def test_a_peer_that_is_away_delays_no_round() -> None:
    board = make_boards(3)[0]
    board.peers['node-2'].last_heard_at = 0
    talks = SlowTalks()
    work = asyncio.create_task(gossip.run_gossip(board, talks))
    await asyncio.sleep(WATCHED)
    work.cancel()
    # Two were told in a second before.
    rounds = WATCHED / (
        gossip_partners.ROUND_INTERVAL_S + gossip_partners.ROUND_JITTER_S
    )
    assert talks.heard >= int(rounds)
    assert talks.late >= int(rounds), 'and the silent one is tried each time'


class BrokenTalks:
    """Exchanges that fail as nobody expects."""

    async def exchange_with(self, peer: Peer) -> None:
        raise AttributeError(peer.card.instance)


async def test_an_error_in_an_exchange_ends_the_loop_to_be_run_again() -> None:
    board = make_boards(2)[0]
    try:
        async with asyncio.timeout(WATCHED):
            await gossip.run_gossip(board, BrokenTalks())
    except ExceptionGroup as errors:
        assert errors.subgroup(AttributeError)
    else:
        raise AssertionError('it went on as if nothing were')
