"""Drop journal segments that are past the retry window."""

import asyncio
from typing import Final

import logbook

from dykemast._internal.blackboard import Blackboard
from dykemast._internal.controllers.keepers import Keepers
from dykemast._internal.exceptions import PlatformError
from dykemast._internal.network.journal_ledger import PREFIX
from dykemast._internal.network.journal_totals import drop_oldest
from dykemast._internal.network.platform import Platform
from dykemast._internal.utils.clock import read_time_of_day

_log = logbook.Logger('journal')

#: Seconds between two looks at the shards that this router keeps.
CHECK_INTERVAL_S: Final = 30.0


class Retention:
    """Looks after the journal shards that this router keeps.

    :param board: the blackboard; only read.
    :param platform: session with the platform.
    :param keepers: tells which shards are this router's.
    """

    def __init__(
        self,
        board: Blackboard,
        platform: Platform,
        keepers: Keepers,
    ) -> None:
        """Start with nothing dropped."""
        self._board = board
        self._platform = platform
        self._keepers = keepers

    async def run(self) -> None:
        """Look after the shards until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for number in range(self._board.settings.get('journal_shards', 1)):
                try:
                    await self.trim(f'{PREFIX}{number}')
                except PlatformError as error:
                    _log.info('journal: not trimmed now: {}', error)

    async def trim(self, shard: str) -> None:
        """Drop what is due in one shard, if this router keeps it.

        :param shard: its name.
        :raises PlatformError: when that was not possible now.
        """
        own = self._board.settings['instance']
        if self._keepers.find_keeper(shard) != own:
            return
        window = self._board.settings.get('retry_window', 0)
        while await drop_oldest(
            self._platform, shard, read_time_of_day() - window
        ):
            _log.info('journal: a segment of {} was summed up.', shard)
