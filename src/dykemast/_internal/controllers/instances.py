"""Poll the platform's list of instances, and announce this incarnation.

Writes the listed instances in the fleet section of the shared state.
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

LIST_INTERVAL_S: Final = 1.0
#: Prefix of the objects that store the newest incarnation of an instance.
MEMBERS: Final = 'members/'


class InstanceLister:
    """Poller of the platform's list of instances.

    :param board: shared state of the router.
    :param platform: session with the platform.
    """

    def __init__(self, board: Blackboard, platform: Platform) -> None:
        """Make a poller."""
        self._board = board
        self._platform = platform
        self._announced = False

    async def announce(self) -> None:
        """Record this incarnation as the newest of its instance.

        Call it after binding the instance's address, which confirms that the
        previous process has ended.

        :raises PlatformError: when it could not be written.
        """
        name = MEMBERS + self._board.settings['instance']
        body = msgspec.json.encode(self._board.incarnation)
        stored = await self._platform.read(name)
        if stored.body != body:
            await self._platform.write(name, body, stored.version)
        self._announced = True
        _log.info('member: incarnation {} announced.', self._board.incarnation)

    async def run(self) -> None:
        """Poll the list until cancelled."""
        while True:
            try:
                await self.refresh()
            except PlatformError as error:
                _log.warning('member: list of instances not read: {}', error)
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
