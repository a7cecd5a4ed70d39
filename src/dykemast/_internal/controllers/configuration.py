"""Apply the newest configuration, from the platform or from peers.

A router applies only higher revisions. A partitioned router keeps its last
revision: refusing all requests for a change that it cannot see would be a
false refusal, and the last revision cannot overspend a budget.
"""

import asyncio
from typing import Final

import logbook
import msgspec

from dykemast._internal.blackboard import Blackboard
from dykemast._internal.exceptions import PeerError, PlatformError
from dykemast._internal.models.fleet import PeerCard
from dykemast._internal.models.revisions import Revision
from dykemast._internal.network.peer_client import PeerClient
from dykemast._internal.network.revision_store import HEAD, RevisionStore
from dykemast._internal.operations.peers import list_peers
from dykemast._internal.utils.clock import read_clock

_log = logbook.Logger('config')

PEER_INTERVAL_S: Final = 0.5
WATCH_RETRY_S: Final = 1.0


class ConfigurationFollower:
    """Writer of the configuration in the shared state.

    :param board: shared state of the router.
    :param store: store of revisions in the platform.
    :param client: calls to other routers.
    """

    def __init__(
        self,
        board: Blackboard,
        store: RevisionStore,
        client: PeerClient,
    ) -> None:
        """Make a follower."""
        self._board = board
        self._store = store
        self._client = client

    def apply(self, revision: Revision, source: str) -> None:
        """Apply a revision if it is newer.

        :param revision: the revision.
        :param source: its source, for the log.
        """
        if revision.number <= _number(self._board):
            return
        self._board.rules.revision = revision
        _log.info(
            'config: revision {} applied, from {}.', revision.number, source
        )

    async def give_newer(self, above: int) -> bytes:
        """Return the revision in force, if newer than that of a peer.

        :param above: number of the peer's revision.
        :returns: the encoded revision, or empty when it is not newer.
        """
        revision = self._board.rules.revision
        if revision is None or revision.number <= above:
            return b''
        return msgspec.json.encode(revision)

    async def follow_platform(self) -> None:
        """Watch the platform for revisions until cancelled."""
        mark = 0
        while True:
            try:
                mark = await self._follow(mark)
            except PlatformError as error:
                _log.warning('config: watch of {} failed: {}', HEAD, error)
                await asyncio.sleep(WATCH_RETRY_S)

    async def follow_peers(self) -> None:
        """Fetch newer revisions from peers until cancelled."""
        while True:
            await asyncio.sleep(PEER_INTERVAL_S)
            peers = list_peers(self._board.fleet, read_clock())
            newest = max(peers, key=lambda card: card.revision, default=None)
            if newest and newest.revision > _number(self._board):
                await self._fetch_from(newest)

    async def _follow(self, mark: int) -> int:
        self.apply(await self._store.read_newest(), 'the platform')
        return (await self._store.wait_change(mark)).mark

    async def _fetch_from(self, card: PeerCard) -> None:
        arguments = (_number(self._board),)
        try:
            body = await self._client.call(card, 'newer_revision', arguments)
        except PeerError as error:
            _log.info('config: revision not fetched from a peer: {}', error)
            return
        if body:
            revision = msgspec.json.decode(body, type=Revision)
            self.apply(revision, card.instance)


def _number(board: Blackboard) -> int:
    return board.rules.revision.number if board.rules.revision else 0
