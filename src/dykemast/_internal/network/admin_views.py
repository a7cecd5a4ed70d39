"""Views of budgets, bills and the fleet for the administration API."""

from typing import Any

from dykemast._internal.blackboard import Blackboard
from dykemast._internal.models.budgets import Budget
from dykemast._internal.models.journal import EntryKind
from dykemast._internal.network import budget_ledger, journal_ledger
from dykemast._internal.network.platform import Platform
from dykemast._internal.operations.budget_counts import (
    count_free,
    count_unspent,
)
from dykemast._internal.operations.peers import list_cards
from dykemast._internal.utils.clock import read_clock


async def view_budgets(platform: Platform) -> list[dict[str, Any]]:
    """List all budgets.

    :param platform: session with the platform.
    :returns: one entry per budget, ordered by name.
    """
    shown: list[dict[str, Any]] = []
    for listed in await platform.list_objects(budget_ledger.PREFIX):
        stored = await platform.read(listed.name)
        budgets = budget_ledger.decode_budgets(stored.body)
        shown.extend(_view_budget(*pair) for pair in budgets.items())
    return sorted(shown, key=lambda one: one['budget'])


def _view_budget(name: str, budget: Budget) -> dict[str, Any]:
    return {
        'budget': name,
        'paid': budget.paid,
        'unspent': count_unspent(budget),
        'free': count_free(budget),
        'in_doubt': budget.in_doubt,
        'leases': [row._asdict() for row in budget.rows.values()],
    }


async def view_bills(
    platform: Platform, workspace: str
) -> list[dict[str, Any]]:
    """List the bills in the journal.

    :param platform: session with the platform.
    :param workspace: workspace of the bills; empty for all.
    :returns: one entry per bill, oldest first.
    """
    bills: list[dict[str, Any]] = []
    for listed in await platform.list_objects(journal_ledger.PREFIX):
        stored = await platform.read(listed.name)
        segment = journal_ledger.decode_segment(stored.body)
        bills.extend(
            {**entry._asdict(), 'answer': bool(entry.answer)}
            for entry in segment.entries
            if entry.kind == EntryKind.finished
            and (not workspace or entry.key.startswith(f'{workspace}|'))
        )
    return sorted(bills, key=lambda bill: bill['at'])


def view_fleet(board: Blackboard) -> dict[str, Any]:
    """Show this router's view of the fleet.

    :param board: the blackboard.
    :returns: routers with their revision, and workers with their load.
    """
    cards = list_cards(board, read_clock())
    return {
        'routers': [card._asdict() for card in cards],
        'workers': [
            {
                'instance': instance.name,
                'service': instance.role,
                'hall': instance.hall,
                'leaving': instance.name in board.fleet.leaving,
                'load': board.loads.reports.get(instance.name),
            }
            for instance in board.fleet.instances
            if instance.role != 'router'
        ],
    }
