"""Budget shards: objects of the platform that hold budgets by name."""

from typing import Final

import msgspec

from dykemast._internal.models.budgets import Budget, BudgetAck, BudgetIntent
from dykemast._internal.network.platform import Platform
from dykemast._internal.operations.budget_shard import apply_intent
from dykemast._internal.operations.group_commit import Merge
from dykemast._internal.operations.reclaim import ReadLog
from dykemast._internal.utils.clock import read_clock

#: Start of the names of budget shards.
PREFIX: Final = 'budgets/'

#: Budgets of a shard by name.
Budgets = dict[str, Budget]


class BudgetShard:
    """One shard as its writer knows it.

    :param platform: session with the platform.
    :param name: name of the shard's object.
    :param reads: log of its reads, to add to; a new one where none is given.
    """

    def __init__(
        self,
        platform: Platform,
        name: str,
        reads: ReadLog | None = None,
    ) -> None:
        """Start with nothing read."""
        self.budgets: Budgets = {}
        self.version = 0
        self.reads = reads or ReadLog()
        self._platform = platform
        self._name = name

    async def load(self) -> None:
        """Read the newest state.

        :raises PlatformError: when it could not be read.
        """
        started = read_clock()
        stored = await self._platform.read(self._name)
        self.budgets = decode_budgets(stored.body)
        self.version = stored.version
        self.reads.record_read(stored.version, started)

    def merge(self, batch: list[BudgetIntent]) -> Merge:
        """Merge intents with the state as read.

        :param batch: the intents.
        :returns: answers, and how to save the merged state.
        """
        budgets = {**self.budgets}
        acks = [_apply(budgets, intent) for intent in batch]
        dirty = budgets != self.budgets
        if dirty:
            # The conditional update will show that this version still stood;
            # without one the state may be old, and its version shows nothing.
            acks = [ack._replace(version=self.version) for ack in acks]

        async def save() -> None:
            await self._save(budgets)

        return Merge(dirty, acks, save)

    async def _save(self, budgets: Budgets) -> None:
        body = msgspec.json.encode(budgets)
        started = read_clock()
        version = await self._platform.write(self._name, body, self.version)
        # That it succeeded shows that the old version stood when it was sent.
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
    """Read the value of a shard's object.

    :param body: the value; empty when there is no such object.
    :returns: budgets by name.
    """
    if not body:
        return {}
    return msgspec.json.decode(body, type=Budgets)
