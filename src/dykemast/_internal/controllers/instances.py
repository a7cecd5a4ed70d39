"""Read the platform's list of instances, and announce this process.

Writes the list's fields of the blackboard's fleet section.
"""

import asyncio
from typing import Final

import logbook
import msgspec

from dykemast._internal.blackboard import Blackboard
from dykemast._internal.exceptions import PlatformError
from dykemast._internal.network.platform import Platform
from dykemast._internal.operations.instance_list import record_listing
from dykemast._internal.utils.clock import read_clock

_log = logbook.Logger('member')

#: Seconds between two reads of the platform's list.
LIST_INTERVAL_S: Final = 1.0
#: Start of the names of objects that name an instance's newest incarnation.
MEMBERS: Final = 'members/'


class InstanceLister:
    """Reader of the platform's list.

    :param board: the blackboard.
    :param platform: session with the platform.
    """

    def __init__(self, board: Blackboard, platform: Platform) -> None:
        """Start with nothing read."""
        self._board = board
        self._platform = platform
        self._announced = False

    async def announce(self) -> None:
        """Write that this incarnation is the newest on its instance.

        It is called after the instance's address was bound, which shows that
        the process before has ended.

        :raises PlatformError: when it could not be written.
        """
        name = MEMBERS + self._board.settings['instance']
        body = msgspec.json.encode(self._board.incarnation)
        stored = await self._platform.read(name)
        if stored.body != body:
            await self._platform.write(name, body, stored.version)
        self._announced = True
        _log.info('member: {} announced.', self._board.incarnation)

    async def run(self) -> None:
        """Keep the list up to date until cancelled."""
        while True:
            try:
                await self.refresh()
            except PlatformError as error:
                _log.warning('member: list not read: {}', error)
            await asyncio.sleep(LIST_INTERVAL_S)

    async def refresh(self) -> None:
        """Read the list once.

        :raises PlatformError: when it could not be read.
        """
        if not self._announced:
            await self.announce()
        started = read_clock()
        listed = await self._platform.list_instances()
        record_listing(self._board.fleet, listed, started)
