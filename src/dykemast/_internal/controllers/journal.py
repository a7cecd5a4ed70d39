"""Append to the journal, and track whether it is available."""

import asyncio
from typing import Final

from dykemast._internal.controllers.keepers import Keepers
from dykemast._internal.exceptions import PlatformError
from dykemast._internal.models.journal import Entry, JournalAck
from dykemast._internal.network.journal_ledger import PREFIX
from dykemast._internal.operations.rendezvous import choose_shard
from dykemast._internal.utils.clock import read_clock

#: Covers a shard owner that times out, and a list, a read and a write of a
#: slow platform.
APPEND_TIMEOUT_S: Final = 4.0
#: Time for which the journal counts as unavailable after a failure.
UNAVAILABLE_S: Final = 2.0


class Journal:
    """Client of the journal shards.

    :param keepers: writes intents.
    :param shards: number of journal shards.
    """

    def __init__(self, keepers: Keepers, shards: int) -> None:
        """Make a client that expects the journal to be available."""
        self._keepers = keepers
        self._shards = shards
        self._failed_at = -UNAVAILABLE_S

    def is_unavailable(self) -> bool:
        """Check whether an append is likely to fail now.

        :returns: whether one failed within the last ``UNAVAILABLE_S``.
        """
        return read_clock() - self._failed_at <= UNAVAILABLE_S

    async def append(self, entry: Entry) -> JournalAck:
        """Append one entry.

        :param entry: the entry.
        :returns: the acknowledgement, once the entry is durable.
        :raises PlatformError: when the journal is unavailable.
        """
        ledger = f'{PREFIX}{choose_shard(entry.key, self._shards)}'
        try:
            async with asyncio.timeout(APPEND_TIMEOUT_S):
                acks = await self._keepers.commit(ledger, [entry])
        except (TimeoutError, PlatformError) as error:
            self._failed_at = read_clock()
            raise PlatformError(f'{ledger}: journal is unavailable.') from error
        return acks[0]
