"""Write bills, or keep them while the journal is unavailable."""

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

#: New requests are refused while this many bills are kept in memory.
MAX_KEPT_BILLS: Final = 20000
FLUSH_INTERVAL_S: Final = 1.0
#: Peers that are asked in turn to keep a copy of a bill.
MAX_ASKED: Final = 3


class Bills:
    """Writer of bills, with those that are not in the journal yet.

    :param board: shared state of the router; only read.
    :param journal: the journal.
    :param client: calls to other routers.
    """

    def __init__(
        self,
        board: Blackboard,
        journal: Journal,
        client: PeerClient,
    ) -> None:
        """Make a writer that keeps no bill."""
        self.kept: dict[str, Entry] = {}
        self._board = board
        self._journal = journal
        self._client = client

    async def claim(self, entry: Entry) -> JournalAck:
        """Write a claim.

        :param entry: the claim.
        :returns: the acknowledgement, once the claim is durable.
        :raises PlatformError: when the journal is unavailable.
        """
        return await self._journal.append(entry)

    async def record(self, entry: Entry) -> Verdict:
        """Write a bill, or keep it here and at a peer.

        :param entry: the bill.
        :returns: whether it stands; a kept bill counts as ours.
        """
        if not self._journal.is_unavailable():
            try:
                return (await self._journal.append(entry)).verdict
            except PlatformError as error:
                _log.warning('bill: {} kept in memory: {}', entry.run, error)
        self.kept[entry.run] = entry
        await self._keep_elsewhere(entry)
        return Verdict.ours

    def keep(self, entries: list[Entry]) -> bool:
        """Keep bills of another router until they are written.

        :param entries: the bills.
        :returns: whether they are kept; not when too many are already.
        """
        if len(self.kept) >= MAX_KEPT_BILLS:
            return False
        self.kept.update((entry.run, entry) for entry in entries)
        return True

    async def run(self) -> None:
        """Write kept bills until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            await self.flush()

    async def flush(self) -> None:
        """Try to write the kept bills."""
        for run, entry in list(self.kept.items()):
            try:
                await self._journal.append(entry)
            except PlatformError as error:
                _log.info(
                    'bill: {} bills still kept: {}', len(self.kept), error
                )
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
                _log.info(
                    'bill: copy of {} kept by {}.', entry.run, card.instance
                )
                return
        _log.error(
            'bill: {} kept by this router only; no peer has a copy.', entry.run
        )


def order_peers(peers: list[PeerCard], hall: str) -> list[PeerCard]:
    """Choose the peers to keep a copy of a bill: other halls first.

    :param peers: live routers.
    :param hall: hall of this router.
    :returns: at most ``MAX_ASKED`` of them, in order.
    """
    ordered = sorted(peers, key=lambda card: card.hall == hall)
    return ordered[:MAX_ASKED]
