"""Bring the newest configuration into force, from platform or peers.

A router applies only higher revisions. One that is cut off from everybody
goes on with its last revision: refusing all work for a change that it cannot
know would be a false refusal, and no budget can be overspent that way.
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

#: Seconds between two looks whether a peer has a newer revision.
PEER_INTERVAL_S: Final = 0.5
#: Seconds before a watch that failed is made again.
WATCH_RETRY_S: Final = 1.0


class ConfigurationFollower:
    """Writer of the blackboard's rules section.

    :param board: the blackboard.
    :param store: revisions in the platform.
    :param client: calls to other routers.
    """

    def __init__(
        self,
        board: Blackboard,
        store: RevisionStore,
        client: PeerClient,
    ) -> None:
        """Start with no revision."""
        self._board = board
        self._store = store
        self._client = client

    def apply(self, revision: Revision, source: str) -> None:
        """Bring a revision into force, if it is newer.

        :param revision: the revision.
        :param source: where it came from, for the log.
        """
        if revision.number <= _number(self._board):
            return
        self._board.rules.revision = revision
        _log.info('config: revision {} from {}.', revision.number, source)

    async def give_newer(self, above: int) -> bytes:
        """Give a peer the revision in force here.

        :param above: number of the peer's revision.
        :returns: the revision, or nothing when it is not newer.
        """
        revision = self._board.rules.revision
        if revision is None or revision.number <= above:
            return b''
        return msgspec.json.encode(revision)

    async def follow_platform(self) -> None:
        """Follow the platform until cancelled."""
        mark = 0
        while True:
            try:
                mark = await self._follow(mark)
            except PlatformError as error:
                _log.warning('config: {} not watched: {}', HEAD, error)
                await asyncio.sleep(WATCH_RETRY_S)

    async def follow_peers(self) -> None:
        """Follow the other routers until cancelled."""
        while True:
            await asyncio.sleep(PEER_INTERVAL_S)
            peers = list_peers(self._board.fleet, read_clock())
            newest = max(peers, key=lambda card: card.revision, default=None)
            if newest and newest.revision > _number(self._board):
                await self._learn(newest)

    async def _follow(self, mark: int) -> int:
        self.apply(await self._store.read_newest(), 'the platform')
        return (await self._store.wait_change(mark)).mark

    async def _learn(self, card: PeerCard) -> None:
        arguments = (_number(self._board),)
        try:
            body = await self._client.call(card, 'newer_revision', arguments)
        except PeerError as error:
            _log.info('config: {}', error)
            return
        if body:
            revision = msgspec.json.decode(body, type=Revision)
            self.apply(revision, card.instance)


def _number(board: Blackboard) -> int:
    return board.rules.revision.number if board.rules.revision else 0
