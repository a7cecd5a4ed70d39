"""Where the tokens of a process that died went, by its own lines."""

import json
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

from tools.token_account import Charge, read_dead, sum_charges


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


def test_a_death_is_split_into_what_its_lines_tell() -> None:
    lines = make_lines(
        'first',
        admit('before', 100),
        {**SETTLED, 'consumed': 100},
        {'event': 'served', 'request': 'before'},
        admit('a', 300),
        ROW,
        admit('b', 200),
        SETTLED,
        SERVED,
    )
    lines += ['not a line of ours', make_lines('first', ROW)[0][:-9]]
    lines += make_lines('second', {'event': 'started'}, ROW)
    charge = sum_charges(read_dead(lines))
    assert charge == Charge(900, 100, 250, 200, 1)
    assert charge.count_spare() == 350


def test_processes_that_run_or_stopped_as_planned_are_left_out() -> None:
    lines = make_lines('first', ROW, {'event': 'stopped'})
    lines += make_lines('second', ROW)
    assert not read_dead(lines)
