"""Order of the renewals of a shard's leases."""

import asyncio

from dykemast._internal.controllers.lease_renewals import LeaseRenewer
from dykemast._internal.models.budgets import BudgetAck, LeaseIntent
from dykemast._internal.operations.confirmed_lease import LeaseTerms
from dykemast._internal.operations.lease_registry import Identity, LeaseRegistry
from dykemast._internal.utils.clock import read_clock


class SlowOwners:
    """Access to the shard on which the first batch is delayed."""

    def __init__(self) -> None:
        self.written: list[bool] = []
        self._delays = [0.05, 0]

    async def commit(
        self,
        ledger: str,
        intents: list[LeaseIntent],
    ) -> list[BudgetAck]:
        """Write a batch; ``ledger`` does not matter here."""
        await asyncio.sleep(self._delays.pop(0))
        self.written.extend(intent.closing for intent in intents)
        return [_answer(intent) for intent in intents]


def _answer(intent: LeaseIntent) -> BudgetAck:
    seq = 0 if intent.closing else intent.seq
    return BudgetAck(intent.budget, intent.holder, seq, 9, 9, 0, 9, 9, 1)


async def renew_and_close() -> list[bool]:
    lease_registry = LeaseRegistry(Identity('router-0', 'first'))
    lease_registry.get_holder('shop/main', LeaseTerms(), read_clock())
    owners = SlowOwners()
    renewer = LeaseRenewer(lease_registry, owners, 'shard', bool)
    renewing = asyncio.create_task(renewer.renew())
    await asyncio.sleep(0.01)
    lease_registry.close_all(read_clock(), 0)
    await renewer.renew()
    await renewing
    return owners.written


def test_a_closing_comes_after_the_renewal_under_way() -> None:
    # In the other order the first intent of a lease would open its row after
    # the closing intent found none, and the row would never be closed.
    assert asyncio.run(renew_and_close()) == [False, True]
