"""Where the tokens of a process that died went, by its own lines."""

import json
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

from tools.token_account import Budget, read_budgets
from tools.token_charges import Charge, decode_lines, read_dead, sum_charges


def make_lines(process: str, *lines: Mapping[str, Any]) -> list[str]:
    named = {'at': 1, 'instance': 'node-1', 'incarnation': process}
    texts = [json.dumps(named | dict(line)) for line in lines]
    return [f'node-1 3.1 s {text}' for text in texts]


def admit(request: str, tokens: int) -> dict[str, Any]:
    return {
        'event': 'admitted',
        'request': request,
        'workspace': 'joinville',
        'tokens': tokens,
    }


ROW = MappingProxyType(
    {
        'event': 'budget_written',
        'workspace': 'joinville',
        'room': 500,
        'spent': 100,
        'held': 300,
        'lent': 0,
        'borrowed': 0,
    }
)
SETTLED = MappingProxyType(
    {
        'event': 'settled',
        'request': 'a',
        'workspace': 'joinville',
        'consumed': 250,
    }
)
SERVED = MappingProxyType({'event': 'served', 'request': 'a'})


def reach(request: str, event: str) -> dict[str, Any]:
    return {'event': event, 'request': request}


def test_a_death_is_split_into_what_its_lines_tell() -> None:
    lines = make_lines(
        'first',
        admit('before', 100),
        {**SETTLED, 'consumed': 100},
        {'event': 'served', 'request': 'before'},
        admit('a', 300),
        ROW,
        admit('b', 200),
        reach('b', 'send'),
        admit('c', 30),
        reach('c', 'send'),
        reach('c', 'first_event'),
        admit('d', 7),
        SETTLED,
        SERVED,
    )
    lines += ['not a line of ours', make_lines('first', ROW)[0][:-9]]
    lines += make_lines('second', {'event': 'started'}, ROW)
    charges = sum_charges(read_dead(decode_lines(lines)))
    assert charges == {'joinville': Charge(900, 100, 250, 30, 200, 7, 1)}
    assert charges['joinville'].count_spare() == 320


def test_processes_that_run_or_stopped_as_planned_are_left_out() -> None:
    lines = make_lines('first', ROW, {'event': 'stopped'})
    lines += make_lines('second', ROW)
    assert not read_dead(decode_lines(lines))


def test_what_nobody_can_have_received_is_left_of_a_budget() -> None:
    row = {**ROW, 'prepaid': 5000, 'free': 0, 'revision': 3}
    lines = make_lines('first', row, admit('b', 200), reach('b', 'send'))
    lines += make_lines('second', SETTLED, {**row, 'revision': 4, 'free': 9})
    budgets = read_budgets(list(decode_lines(lines)))
    charge = Charge(900, 100, 0, 0, 200, 0, 1)
    assert budgets == {'joinville': Budget(5000, 250, 9, charge)}
    assert budgets['joinville'].count_left() == 5000 - 250 - 200


def test_loans_that_did_not_arrive_are_told_by_both_ends() -> None:
    loan = {'event': 'tokens_lent', 'workspace': 'joinville', 'tokens': 700}
    row = {**ROW, 'prepaid': 5000, 'free': 0, 'revision': 3}
    lines = make_lines('lender', row, loan, {**loan, 'tokens': 50})
    lines += make_lines('borrower', {**loan, 'event': 'tokens_borrowed'})
    budgets = read_budgets(list(decode_lines(lines)))
    assert budgets['joinville'].unarrived == 50
