"""Validation of a policy: compilation and a trial on a sample request."""

from typing import Any, Final

from dykemast._internal.models.revisions import Configuration, PolicySpec
from dykemast._internal.operations.expressions import (
    PolicyError,
    compile_expression,
)
from dykemast._internal.operations.policies import evaluate_policy

#: Fields of a policy that are expressions.
EXPRESSION_FIELDS: Final = frozenset(('allow', 'models', 'budgets', 'priority'))
_SAMPLE_BYTES: Final = 100
_SAMPLE_TOKENS: Final = 1000


def check_policy(
    policy: PolicySpec,
    configuration: Configuration,
) -> list[PolicyError]:
    """Compile a policy and evaluate it once on a sample request.

    :param policy: the policy with its expressions.
    :param configuration: the whole configuration.
    :returns: errors; empty when the policy is valid.
    """
    texts: dict[str, Any] = dict(policy)
    failures = []
    for field in sorted(EXPRESSION_FIELDS & texts.keys()):
        failures.extend(_compile(field, texts[field]))
    if failures:
        return failures
    try:
        evaluate_policy(policy, make_sample_view(configuration), 'sample')
    except PolicyError as error:
        return [PolicyError(error.field, f'on a sample request: {error}')]
    return []


def make_sample_view(configuration: Configuration) -> dict[str, Any]:
    """Make the variables of a policy for a sample request.

    :param configuration: the configuration whose models are listed.
    :returns: values of ``request``, ``budget`` and ``fleet``.
    """
    counts = {model['name']: 1 for model in configuration['models']}
    request = {
        'model': 'sample',
        'budget': 'main',
        'method': 'POST',
        'stream': True,
        'repeatable': True,
        'bytes': _SAMPLE_BYTES,
    }
    budget = {'unspent': _SAMPLE_TOKENS, 'paid': _SAMPLE_TOKENS}
    return {
        'request': request,
        'budget': {'main': budget},
        'fleet': {'workers': counts},
    }


def _compile(field: str, text: str) -> list[PolicyError]:
    try:
        compile_expression(field, text)
    except PolicyError as error:
        return [error]
    return []
