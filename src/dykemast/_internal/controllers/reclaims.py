"""Reclaim the leases of routers that are confirmed dead."""

import asyncio
from typing import Final

import logbook
import msgspec

from dykemast._internal.blackboard import Blackboard
from dykemast._internal.controllers import instances, keepers, leases
from dykemast._internal.exceptions import DykemastError
from dykemast._internal.network.budget_ledger import PREFIX, BudgetShard
from dykemast._internal.network.platform import Platform
from dykemast._internal.operations import (
    confirmed_lease,
    instance_list,
    peers,
    reclaim,
)
from dykemast._internal.utils.clock import read_clock

_log = logbook.Logger('reclaim')

RECLAIM_INTERVAL_S: Final = 3.0


class Reclaims:
    """Reclaims leases in the shards that this router owns.

    :param board: shared state; only the incarnations are written.
    :param platform: session with the platform.
    :param ways: access to the budget shards.
    :param lease_registry: records when versions of the shards were read.
    """

    def __init__(
        self,
        board: Blackboard,
        platform: Platform,
        ways: keepers.Keepers,
        lease_registry: leases.Leases,
    ) -> None:
        """Load shards on the first check."""
        self._leases = lease_registry
        self._board = board
        self._platform = platform
        self._keepers = ways
        self._shards: dict[str, BudgetShard] = {}

    async def run(self) -> None:
        """Check the owned shards until cancelled."""
        while True:
            await asyncio.sleep(RECLAIM_INTERVAL_S)
            try:
                await self._check_shards()
            except DykemastError as error:
                _log.info('reclaim: check of the shards failed: {}', error)

    async def _check_shards(self) -> None:
        own = self._board.settings['instance']
        for number in range(self._board.settings.get('budget_shards', 1)):
            name = f'{PREFIX}{number}'
            if self._keepers.find_owner(name) == own:
                await self._check_shard(
                    name, self._leases.renewers[number].reads
                )
            else:
                self._shards.pop(name, None)

    async def _check_shard(self, name: str, reads: reclaim.ReadLog) -> None:
        shard = self._shards.setdefault(
            name, BudgetShard(self._platform, name, reads)
        )
        await shard.load()
        await self._read_incarnations(shard)
        lag = self._board.settings.get('list_lag', 0)
        known_processes = instance_list.collect_census(
            self._board.fleet, lag, read_clock()
        )
        plans = reclaim.plan_reclaims(
            shard.budgets,
            known_processes,
            shard.reads,
            lag + confirmed_lease.DEATH_DETECTION_S,
        )
        if plans:
            await self._keepers.commit(name, plans)
        for plan in plans:
            _log.warning(
                'reclaim: lease of {} in {}, {}.',
                plan.holder,
                plan.budget,
                'in full' if plan.full else 'armed part only',
            )

    async def _read_incarnations(self, shard: BudgetShard) -> None:
        known = self._board.fleet.incarnations
        cards = peers.list_cards(self._board, read_clock())
        for name in reclaim.list_unheard_instances(shard.budgets, cards):
            stored = await self._platform.read(instances.MEMBERS + name)
            if stored.body:
                known[name] = msgspec.json.decode(stored.body, type=str)
