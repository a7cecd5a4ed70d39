"""Renew the leases of one budget shard."""

import asyncio
import contextlib
import functools
from collections.abc import Callable
from typing import Final

import logbook

from dykemast._internal.controllers.keepers import Keepers
from dykemast._internal.exceptions import DykemastError
from dykemast._internal.models.budgets import BudgetAck
from dykemast._internal.operations.lease_registry import LeaseRegistry
from dykemast._internal.operations.reclaim import ReadLog
from dykemast._internal.utils.clock import read_clock

_log = logbook.Logger('lease')

#: Seconds between two looks at the leases of a shard.
RENEWAL_INTERVAL_S: Final = 0.5


class LeaseRenewer:
    """Renews leases of one shard, one batch at a time.

    :param lease_registry: leases of this router.
    :param keepers: way to the shard.
    :param ledger: name of the shard.
    :param belongs: tells whether a budget is of the shard.
    """

    def __init__(
        self,
        lease_registry: LeaseRegistry,
        keepers: Keepers,
        ledger: str,
        belongs: Callable[[str], bool],
    ) -> None:
        """Start with nothing renewed."""
        self.kick = asyncio.Event()
        self.away = False
        self._lease_registry = lease_registry
        self._commit = functools.partial(keepers.commit, ledger)
        self._belongs = belongs
        self.reads = ReadLog()
        self._seen = 0
        self._turn = asyncio.Lock()

    async def run(self, on_round: Callable[[], None]) -> None:
        """Renew until cancelled.

        :param on_round: called after each round.
        """
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(RENEWAL_INTERVAL_S):
                    await self.kick.wait()
            self.kick.clear()
            try:
                await self.renew()
            except DykemastError as error:
                self.away = True
                _log.warning('lease: not renewed: {}', error)
            on_round()

    async def renew(self) -> None:
        """Renew what is due, after the renewal under way.

        A closing that overtook a lease's first intent would find no row to
        close, and the intent would open one that nobody gives back.

        :raises PlatformError: when nobody could write.
        """
        async with self._turn:
            await self._renew()

    async def _renew(self) -> None:
        plans = self._lease_registry.plan_renewals(
            self._belongs, read_clock(), self._seen
        )
        if not plans:
            return
        started = read_clock()
        for ack in await self._commit(plans):
            self._apply_ack(ack)
            if ack.version:
                # It stood when it was written, so it was no newer before.
                self.reads.record_read(ack.version, started)
        self.away = False

    def _apply_ack(self, ack: BudgetAck) -> None:
        self._seen = max(self._seen, ack.version)
        self._lease_registry.apply_ack(ack, read_clock())
        _log.info(
            'lease: {} allotted {} armed {} free {} target {}.',
            ack.budget,
            ack.allotted,
            ack.armed,
            ack.free,
            ack.target,
        )
