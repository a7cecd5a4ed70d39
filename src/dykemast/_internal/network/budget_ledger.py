"""Budget shards: platform objects that hold budgets by name."""

from typing import Final

import msgspec

from dykemast._internal.models.budgets import Budget, BudgetAck, BudgetIntent
from dykemast._internal.network.platform import Platform
from dykemast._internal.operations.budget_shard import apply_intent
from dykemast._internal.operations.group_commit import Merge
from dykemast._internal.operations.reclaim import ReadLog
from dykemast._internal.utils.clock import read_clock

#: Prefix of the names of budget shards.
PREFIX: Final = 'budgets/'

#: Budgets of a shard by name.
Budgets = dict[str, Budget]


class BudgetShard:
    """Cached state of one shard in the router that writes it.

    :param platform: session with the platform.
    :param name: name of the shard's object.
    :param reads: log to which reads of the shard are added; a new one if None.
    """

    def __init__(
        self,
        platform: Platform,
        name: str,
        reads: ReadLog | None = None,
    ) -> None:
        """Initialize the shard without loading it."""
        self.budgets: Budgets = {}
        self.version = 0
        self.reads = reads or ReadLog()
        self._platform = platform
        self._name = name

    async def load(self) -> None:
        """Read the newest state.

        :raises PlatformError: when the object cannot be read.
        """
        started = read_clock()
        stored = await self._platform.read(self._name)
        self.budgets = decode_budgets(stored.body)
        self.version = stored.version
        self.reads.record_read(stored.version, started)

    def merge(self, batch: list[BudgetIntent]) -> Merge:
        """Apply intents to the cached state.

        :param batch: the intents.
        :returns: acknowledgements, and a function that saves the new state.
        """
        budgets = {**self.budgets}
        acks = [_apply(budgets, intent) for intent in batch]
        dirty = budgets != self.budgets
        if dirty:
            # The conditional update confirms that this version was current.
            # Without an update the state may be outdated, so its version
            # proves nothing.
            acks = [ack._replace(version=self.version) for ack in acks]

        async def save() -> None:
            await self._save(budgets)

        return Merge(dirty, acks, save)

    async def _save(self, budgets: Budgets) -> None:
        body = msgspec.json.encode(budgets)
        started = read_clock()
        version = await self._platform.write(self._name, body, self.version)
        # Success proves that the old version was current at the start.
        self.reads.record_read(self.version, started)
        self.version = version
        self.budgets = budgets


def _apply(budgets: Budgets, intent: BudgetIntent) -> BudgetAck:
    before = budgets.get(intent.budget, Budget())
    applied = apply_intent(before, intent)
    if applied.budget is not before:
        budgets[intent.budget] = applied.budget
    return applied.ack._replace(budget=intent.budget)


def decode_budgets(body: bytes) -> Budgets:
    """Decode the value of a shard's object.

    :param body: the value; empty when the object does not exist.
    :returns: budgets by name.
    """
    if not body:
        return {}
    return msgspec.json.decode(body, type=Budgets)
