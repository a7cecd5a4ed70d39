"""Send intents to the owner of a shard, or write them here.

Ownership of a shard is a hint. When the owner does not answer, this router
writes the shard itself: conditional updates let only one writer succeed.
"""

import asyncio
from collections.abc import Callable
from typing import Any, Final, NamedTuple

import logbook

from dykemast._internal.blackboard import Blackboard
from dykemast._internal.exceptions import PeerError
from dykemast._internal.network import ledger_codec
from dykemast._internal.network.peer_client import PeerClient
from dykemast._internal.operations.group_commit import (
    GroupCommit,
    LedgerCallbacks,
)
from dykemast._internal.operations.peers import list_owners
from dykemast._internal.operations.rendezvous import choose_owner
from dykemast._internal.utils.clock import read_clock

_log = logbook.Logger('keeper')

#: A suspended owner must not use up the timeouts of requests that wait for a
#: claim or for tokens.
OWNER_TIMEOUT_S: Final = 0.8
#: Time for which an owner that did not answer is skipped.
AVOID_S: Final = 5.0


class LedgerKind(NamedTuple):
    """How the shards of one kind are opened and written.

    :param open_shard: opens the ledger of a shard by its name.
    :param decode_acks: decodes the acknowledgements of an owner.
    :param pause: seconds between two writes of one shard.
    """

    open_shard: Callable[[str], LedgerCallbacks]
    decode_acks: Callable[[bytes], list[Any]]
    pause: float


class Keepers:
    """Group commits of this router, and calls to those of shard owners.

    :param board: shared state of the router; only read.
    :param client: calls to other routers.
    :param kinds: kinds of ledger by the first part of their shards' names.
    """

    def __init__(
        self,
        board: Blackboard,
        client: PeerClient,
        kinds: dict[str, LedgerKind],
    ) -> None:
        """Open shards on their first intents."""
        self._board = board
        self._client = client
        self._kinds = kinds
        self._open: dict[str, GroupCommit] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._avoided: dict[str, float] = {}

    async def commit(self, ledger: str, intents: list[Any]) -> list[Any]:
        """Have intents written by the shard's owner.

        :param ledger: name of the shard.
        :param intents: the intents.
        :returns: an acknowledgement of each.
        :raises PlatformError: when they could not be written.
        """
        owner = self.find_owner(ledger)
        view = self._board.fleet.peers.get(owner or '')
        if view is None:
            return await self.commit_here(ledger, intents)
        body = ledger_codec.encode_intents(intents)
        try:
            acks = await self._client.call(
                view.card, 'commit', (ledger, body), OWNER_TIMEOUT_S
            )
        except PeerError as error:
            self._avoided[view.card.instance] = read_clock() + AVOID_S
            _log.info(
                'keeper: owner of {} failed; writing it here: {}', ledger, error
            )
            return await self.commit_here(ledger, intents)
        return self._find_kind(ledger).decode_acks(acks)

    async def commit_here(self, ledger: str, intents: list[Any]) -> list[Any]:
        """Write intents from this router.

        :param ledger: name of the shard.
        :param intents: the intents.
        :returns: an acknowledgement of each.
        :raises PlatformError: when they could not be written.
        """
        commit = self._open.get(ledger)
        if commit is None:
            kind = self._find_kind(ledger)
            commit = GroupCommit(ledger, kind.open_shard(ledger), kind.pause)
            self._open[ledger] = commit
            self._tasks.append(asyncio.create_task(commit.run()))
        return await commit.submit(intents)

    async def serve(self, ledger: str, body: bytes) -> bytes:
        """Write the intents that another router sent.

        :param ledger: name of the shard.
        :param body: the encoded intents.
        :returns: the encoded acknowledgements.
        """
        intents = ledger_codec.decode_intents(body)
        return ledger_codec.encode_acks(await self.commit_here(ledger, intents))

    def find_owner(self, ledger: str) -> str | None:
        """Find the owner of a shard.

        :param ledger: name of the shard.
        :returns: its instance id, or ``None`` when there is no live router.
        """
        now = read_clock()
        owners = [
            name
            for name in list_owners(self._board, now)
            if self._avoided.get(name, 0) < now
        ]
        return choose_owner(ledger, owners)

    def close(self) -> None:
        """Cancel all group commits."""
        for task in self._tasks:
            task.cancel()

    def _find_kind(self, ledger: str) -> LedgerKind:
        kind = self._kinds.get(ledger.split('/', 1)[0])
        if kind is None:
            raise PeerError(f'{ledger}: unknown kind of ledger.')
        return kind
