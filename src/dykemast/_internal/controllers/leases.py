"""Leases of this router, with waits for their renewal."""

import asyncio
import contextlib
import math

from dykemast._internal.controllers.keepers import Keepers
from dykemast._internal.controllers.lease_renewals import LeaseRenewer
from dykemast._internal.network.budget_ledger import PREFIX
from dykemast._internal.operations.lease_registry import LeaseRegistry
from dykemast._internal.operations.rendezvous import choose_shard
from dykemast._internal.utils.clock import read_clock


class Leases:
    """Leases of this router over all budget shards.

    :param lease_registry: the leases.
    :param keepers: access to the budget shards.
    :param shards: number of budget shards.
    """

    def __init__(
        self, lease_registry: LeaseRegistry, keepers: Keepers, shards: int
    ) -> None:
        """Make one renewer per shard."""
        self.lease_registry = lease_registry
        self._renewed = asyncio.Event()
        self.renewers = [
            _make_renewer(lease_registry, keepers, (number, shards))
            for number in range(shards)
        ]

    async def run(self) -> None:
        """Renew leases until cancelled."""
        async with asyncio.TaskGroup() as group:
            for renewer in self.renewers:
                group.create_task(renewer.run(self._wake_waiters))

    def find_renewer(self, budget: str) -> LeaseRenewer:
        """Find the renewer of a budget's lease.

        :param budget: its name.
        :returns: the renewer of its shard.
        """
        return self.renewers[choose_shard(budget, len(self.renewers))]

    async def wait_for_renewal(self, timeout_s: float) -> None:
        """Wait for the next round of renewals.

        :param timeout_s: longest wait in seconds.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._renewed.wait()

    def recall(self, budget: str) -> None:
        """Renew a lease at once, as other routers need its tokens.

        :param budget: its name.
        """
        holder = self.lease_registry.holders.get(budget)
        if holder:
            holder.lease.renewed_at = -math.inf
            self.find_renewer(budget).kick.set()

    async def close_all(self) -> None:
        """Return all leases that are not in use.

        :raises PlatformError: when that could not be written.
        """
        self.lease_registry.close_all(read_clock(), 0)
        for renewer in self.renewers:
            await renewer.renew()

    def _wake_waiters(self) -> None:
        waited = self._renewed
        self._renewed = asyncio.Event()
        waited.set()


def _make_renewer(
    lease_registry: LeaseRegistry,
    keepers: Keepers,
    place: tuple[int, int],
) -> LeaseRenewer:
    number, shards = place

    def belongs(budget: str) -> bool:
        return choose_shard(budget, shards) == number

    return LeaseRenewer(lease_registry, keepers, f'{PREFIX}{number}', belongs)
