"""Did the promises hold? Compares bills and budgets with what really ran."""

from collections import Counter
from typing import Any, NamedTuple

from tools.calls import call
from tools.fleet import Fleet, call_admin
from tools.layout import HOST
from tools.callers import Served


class Truth(NamedTuple):
    """What the stand-ins and the journal say.

    :param runs: runs of chat completions by request id.
    :param calls: runs of plain calls by idempotency key.
    :param tokens: tokens consumed at the engines, in all.
    :param bills: bills in the journal.
    :param budgets: budgets as the platform has them.
    """

    runs: dict[str, Any]
    calls: dict[str, int]
    tokens: int
    bills: list[dict[str, Any]]
    budgets: list[dict[str, Any]]


def read_truth(fleet: Fleet, router: int) -> Truth:
    """Ask the stand-ins what really ran.

    :param fleet: the fleet.
    :param router: number of a router that is up.
    :returns: what they say.
    """
    runs: dict[str, Any] = {}
    calls: Counter[str] = Counter()
    for engine in fleet.layout.engines:
        runs.update(call(f'http://{HOST}:{engine.port}/counts'))
    for plain in fleet.layout.plains:
        calls.update(call(f'http://{HOST}:{plain.port}/counts'))
    tokens = sum(map(_count_tokens, runs.values()))
    return Truth(
        runs,
        calls,
        tokens,
        call_admin(fleet, '/admin/bills', None, router),
        call_admin(fleet, '/admin/budgets', None, router),
    )


def _count_tokens(count: dict[str, int]) -> int:
    return count['prompt'] + count['output']


def find_breaches(all_served: list[Served], truth: Truth) -> list[str]:
    """Find promises that did not hold.

    :param all_served: what callers saw.
    :param truth: what really happened.
    :returns: a line for each breach.
    """
    billed = Counter(_read_key(bill) for bill in truth.bills)
    breaches = [
        f'{key} was billed {count} times'
        for key, count in billed.items()
        if count > 1
    ]
    breaches.extend(
        f'{served.key} was answered and not billed'
        for served in all_served
        if served.is_answered() and not billed[served.key]
    )
    breaches.extend(
        f'{key} may not be repeated and ran {count} times'
        for key, count in truth.calls.items()
        if count > 1
    )
    breaches.extend(_find_lies(all_served, truth))
    breaches.extend(_find_stuck(truth))
    paid = sum(budget['paid'] for budget in truth.budgets)
    if truth.tokens > paid:
        breaches.append(f'{truth.tokens} tokens consumed, {paid} paid')
    return breaches


def _read_key(bill: dict[str, Any]) -> str:
    return bill['key'].partition('|')[2]


def _find_lies(all_served: list[Served], truth: Truth) -> list[str]:
    return [
        f'{attempt.request} was refused as not run and ran'
        for served in all_served
        for attempt in served.attempts
        if attempt.ran == 'no' and attempt.request in truth.runs
    ]


def _find_stuck(truth: Truth) -> list[str]:
    return [
        'a lease of the killed router has not come back'
        for budget in truth.budgets
        for lease in budget['leases']
        if lease['instance'] == 'router-0'
    ]
