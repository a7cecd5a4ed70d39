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

RENEWAL_INTERVAL_S: Final = 0.5


class LeaseRenewer:
    """Renews the leases of one shard, one batch at a time.

    :param lease_registry: leases of this router.
    :param keepers: access to the shard.
    :param ledger: name of the shard.
    :param belongs: checks whether a budget belongs to the shard.
    """

    def __init__(
        self,
        lease_registry: LeaseRegistry,
        keepers: Keepers,
        ledger: str,
        belongs: Callable[[str], bool],
    ) -> None:
        """Make a renewer."""
        self.kick = asyncio.Event()
        self.away = False
        self._lease_registry = lease_registry
        self._commit = functools.partial(keepers.commit, ledger)
        self._belongs = belongs
        self.reads = ReadLog()
        self._seen = 0
        self._renewal_lock = asyncio.Lock()

    async def run(self, on_round: Callable[[], None]) -> None:
        """Renew leases until cancelled.

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
                _log.warning('lease: renewal failed: {}', error)
            on_round()

    async def renew(self) -> None:
        """Renew the leases that are due, after a renewal in progress.

        A close that overtakes the first intent of a lease would find no row,
        and the intent would then open one that is never returned.

        :raises PlatformError: when the shard could not be written.
        """
        async with self._renewal_lock:
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
                # At `started` the version was this one or an older one.
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
