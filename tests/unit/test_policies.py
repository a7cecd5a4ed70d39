"""Policies: their decisions, and the bounds on hostile expressions."""

import time

from dykemast._internal.models.revisions import Configuration, ModelSpec
from dykemast._internal.operations.expressions import (
    PolicyError,
    compile_expression,
)
from dykemast._internal.operations.policies import evaluate_policy
from dykemast._internal.operations.policy_check import (
    make_sample_view,
    check_policy,
)

MODEL = ModelSpec(name='tiny-1', service='llm', max_tokens=9)
CONFIGURATION = Configuration(
    services=[], models=[MODEL], workspaces=[], policies=[]
)
LEFT = ''.join('(' for _ in range(900))
RIGHT = LEFT.replace('(', ')')
ONES = ','.join('1' for _ in range(900))
VIEW = make_sample_view(CONFIGURATION)


def find_error(field: str, text: str) -> str:
    """Return the error of an expression, or an empty text."""
    found = check_policy({'name': 'p', field: text}, CONFIGURATION)
    return str(found[0]) if found else ''


def test_policy_chooses_with_fallback() -> None:
    policy = {
        'name': 'p',
        'allow': 'request.bytes < 200',
        'models': "budget.main.unspent < 2000 ? ['tiny-1'] : ['big', 'tiny-1']",
        'budgets': "['main', 'reserve']",
        'priority': 'request.stream ? 9 : 1',
    }
    decision = evaluate_policy(policy, VIEW, 'big')
    assert decision.allow
    assert decision.models == ('tiny-1',)
    assert decision.budgets == ('main', 'reserve')
    assert decision.priority == 9


def test_policy_without_expressions_uses_defaults() -> None:
    decision = evaluate_policy({'name': 'p'}, VIEW, 'big')
    assert decision == (True, ('big',), ('main',), 5)


def test_wrong_expressions_are_found() -> None:
    assert 'Syntax error' in find_error('allow', '1 +')
    assert 'must give a bool' in find_error('allow', '1')
    assert 'must give up to' in find_error('models', '[1]')
    assert 'KeyError' in find_error('allow', 'request.none == 1')


def test_hostile_expressions_are_refused() -> None:
    list_of_lists = '[1].map(x, [1].map(y, [1].map(z, 1)))'
    assert 'inside another' in find_error('models', list_of_lists)
    assert 'inside another' in find_error(
        'allow', "[1].all(x, [')'].all(y, x))"
    )
    assert 'longer than' in find_error('allow', f'{ONES}{ONES}')
    assert find_error('allow', '{}1{}'.format(LEFT, RIGHT))


def test_largest_expression_ends_soon() -> None:
    started = time.process_time()
    try:
        program = compile_expression('allow', f'[{ONES}].map(x, x)')
    except PolicyError:
        program = None
    assert program is None or len(program.execute({})) == 900
    # Processor time does not depend on the load of the machine; the bound is a
    # hundred times the usual value.
    assert time.process_time() - started < 5
