"""Drop journal segments older than the retry window."""

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

CHECK_INTERVAL_S: Final = 30.0


class Retention:
    """Trims the journal shards that this router owns.

    :param board: shared state of the router; only read.
    :param platform: session with the platform.
    :param keepers: finds the owners of shards.
    """

    def __init__(
        self,
        board: Blackboard,
        platform: Platform,
        keepers: Keepers,
    ) -> None:
        """Make the trimmer of one router."""
        self._board = board
        self._platform = platform
        self._keepers = keepers

    async def run(self) -> None:
        """Trim the owned shards until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for number in range(self._board.settings.get('journal_shards', 1)):
                try:
                    await self.trim(f'{PREFIX}{number}')
                except PlatformError as error:
                    _log.info('journal: trim failed: {}', error)

    async def trim(self, shard: str) -> None:
        """Drop expired segments of a shard, if this router owns it.

        :param shard: its name.
        :raises PlatformError: when the shard could not be trimmed.
        """
        own = self._board.settings['instance']
        if self._keepers.find_owner(shard) != own:
            return
        window = self._board.settings.get('retry_window', 0)
        while await drop_oldest(
            self._platform, shard, read_time_of_day() - window
        ):
            _log.info('journal: segment of {} replaced by its totals.', shard)
