"""Append to the journal, and know when it is away."""

import asyncio
from typing import Final

from dykemast._internal.controllers.keepers import Keepers
from dykemast._internal.exceptions import PlatformError
from dykemast._internal.models.journal import Entry, JournalAck
from dykemast._internal.network.journal_ledger import PREFIX
from dykemast._internal.operations.rendezvous import choose_shard
from dykemast._internal.utils.clock import read_clock

#: Seconds that an entry waits for the journal: a keeper passed over, and a
#: list, a read and a write of a slow platform.
APPEND_TIMEOUT_S: Final = 4.0
#: Seconds for which the journal counts as away after a failure.
UNAVAILABLE_S: Final = 2.0


class Journal:
    """Way to the journal shards.

    :param keepers: writes intents.
    :param shards: how many journal shards there are.
    """

    def __init__(self, keepers: Keepers, shards: int) -> None:
        """Start with the journal thought to be there."""
        self._keepers = keepers
        self._shards = shards
        self._failed_at = -UNAVAILABLE_S

    def is_away(self) -> bool:
        """Tell whether an append would most likely fail now.

        :returns: whether one failed a moment ago.
        """
        return read_clock() - self._failed_at <= UNAVAILABLE_S

    async def append(self, entry: Entry) -> JournalAck:
        """Append one entry.

        :param entry: what to append.
        :returns: what became of it, once it is durable.
        :raises PlatformError: when the journal is away.
        """
        ledger = f'{PREFIX}{choose_shard(entry.key, self._shards)}'
        try:
            async with asyncio.timeout(APPEND_TIMEOUT_S):
                acks = await self._keepers.commit(ledger, [entry])
        except (TimeoutError, PlatformError) as error:
            self._failed_at = read_clock()
            raise PlatformError(f'{ledger}: journal is away.') from error
        return acks[0]
