"""Write bills, or keep them until the journal is back."""

import asyncio
from typing import Final

import logbook

from dykemast._internal.blackboard import Blackboard
from dykemast._internal.controllers.journal import Journal
from dykemast._internal.exceptions import PeerError, PlatformError
from dykemast._internal.models.fleet import PeerCard
from dykemast._internal.models.journal import Entry, JournalAck, Verdict
from dykemast._internal.network import ledger_codec
from dykemast._internal.network.peer_client import PeerClient
from dykemast._internal.operations.peers import list_peers
from dykemast._internal.utils.clock import read_clock

_log = logbook.Logger('bill')

#: Bills kept in memory at most; beyond that new requests are refused.
MAX_KEPT_BILLS: Final = 20000
#: Seconds between two tries to write the bills that are kept.
FLUSH_INTERVAL_S: Final = 1.0
#: Peers that are asked to keep a bill, one after the other.
MAX_ASKED: Final = 3


class Bills:
    """Bills that are not in the journal yet, and the way there.

    :param board: the blackboard; only read.
    :param journal: the journal.
    :param client: calls to other routers.
    """

    def __init__(
        self,
        board: Blackboard,
        journal: Journal,
        client: PeerClient,
    ) -> None:
        """Start with no bill kept."""
        self.kept: dict[str, Entry] = {}
        self._board = board
        self._journal = journal
        self._client = client

    async def claim(self, entry: Entry) -> JournalAck:
        """Write a claim.

        :param entry: the claim.
        :returns: what became of it, once it is durable.
        :raises PlatformError: when the journal is away.
        """
        return await self._journal.append(entry)

    async def record(self, entry: Entry) -> Verdict:
        """Make a bill durable, or have a peer keep it as well.

        :param entry: the bill.
        :returns: whether it stands; a bill that is kept counts as ours.
        """
        if not self._journal.is_away():
            try:
                return (await self._journal.append(entry)).verdict
            except PlatformError as error:
                _log.warning('bill: {} is kept: {}', entry.run, error)
        self.kept[entry.run] = entry
        await self._keep_elsewhere(entry)
        return Verdict.ours

    def keep(self, entries: list[Entry]) -> bool:
        """Keep bills of another router until they are written.

        :param entries: the bills.
        :returns: whether there was room.
        """
        if len(self.kept) >= MAX_KEPT_BILLS:
            return False
        self.kept.update((entry.run, entry) for entry in entries)
        return True

    async def run(self) -> None:
        """Write the bills that are kept until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            await self.flush()

    async def flush(self) -> None:
        """Try to write the bills that are kept."""
        for run, entry in list(self.kept.items()):
            try:
                await self._journal.append(entry)
            except PlatformError as error:
                _log.info('bill: {} still kept: {}', len(self.kept), error)
                return
            self.kept.pop(run, None)

    async def _keep_elsewhere(self, entry: Entry) -> None:
        body = ledger_codec.encode_intents([entry])
        peers = list_peers(self._board.fleet, read_clock())
        for card in order_peers(peers, self._board.settings['hall']):
            try:
                kept = await self._client.call(card, 'hold_bills', (body,))
            except PeerError as error:
                _log.info('bill: {}', error)
                continue
            if kept:
                _log.info('bill: {} kept by {}.', entry.run, card.instance)
                return
        _log.error('bill: {} is kept by this router alone.', entry.run)


def order_peers(peers: list[PeerCard], hall: str) -> list[PeerCard]:
    """Choose who should keep a copy of a bill: other halls first.

    :param peers: routers that can be expected to answer.
    :param hall: hall of this router.
    :returns: a few of them, in order.
    """
    ordered = sorted(peers, key=lambda card: card.hall == hall)
    return ordered[:MAX_ASKED]
