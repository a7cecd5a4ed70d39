"""Kinds of ledgers: budget shards and journal shards."""

from typing import Final

from dykemast._internal.controllers.keepers import LedgerKind
from dykemast._internal.network import budget_ledger, journal_ledger
from dykemast._internal.network.ledger_codec import (
    decode_budget_acks,
    decode_journal_acks,
)
from dykemast._internal.network.platform import Platform
from dykemast._internal.operations.group_commit import LedgerCallbacks

BUDGET_WRITE_INTERVAL_S: Final = 0.5
JOURNAL_WRITE_INTERVAL_S: Final = 0.14


def make_kinds(platform: Platform, window: float) -> dict[str, LedgerKind]:
    """Make the kinds of ledgers.

    :param platform: session with the platform.
    :param window: seconds for which the journal keeps a key.
    :returns: kinds by the first part of their shards' names.
    """

    def open_budgets(name: str) -> LedgerCallbacks:
        shard = budget_ledger.BudgetShard(platform, name)
        return LedgerCallbacks(shard.load, shard.merge)

    def open_journal(name: str) -> LedgerCallbacks:
        shard = journal_ledger.JournalShard(platform, name, window)
        return LedgerCallbacks(shard.load, shard.merge)

    return {
        'budgets': LedgerKind(
            open_budgets, decode_budget_acks, BUDGET_WRITE_INTERVAL_S
        ),
        'journal': LedgerKind(
            open_journal, decode_journal_acks, JOURNAL_WRITE_INTERVAL_S
        ),
    }
