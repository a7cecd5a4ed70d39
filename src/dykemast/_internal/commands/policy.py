"""Evaluation of the policies of a configuration."""

from pathlib import Path
from typing import Any

import yaml

from dykemast._internal.exceptions import Finding, InvalidFileError
from dykemast._internal.models.revisions import PolicySpec
from dykemast._internal.operations.expressions import PolicyError
from dykemast._internal.operations.findings import check_configuration
from dykemast._internal.operations.policies import evaluate_policy
from dykemast._internal.operations.policy_check import make_sample_view


def try_policies(path: str, request: str) -> str:
    """Evaluate all policies of a configuration for one request.

    :param path: path of the configuration file.
    :param request: path of a YAML file; missing fields get sample values.
    :returns: one line per policy.
    :raises InvalidFileError: when a file has findings.
    """
    text = Path(path).read_text(encoding='utf-8')
    configuration = check_configuration(path, text)
    view = _merge(make_sample_view(configuration), _read_view(request))
    return '\n'.join(
        _explain(policy, view) for policy in configuration['policies']
    )


def _read_view(path: str) -> dict[str, Any]:
    view = yaml.safe_load(Path(path).read_text(encoding='utf-8'))
    if not isinstance(view, dict):
        found = Finding(
            path, 1, '', 'must be a mapping with request, budget and fleet.'
        )
        raise InvalidFileError([found])
    return view


def _merge(sample: Any, given: Any) -> dict[str, Any]:
    merged: dict[str, Any] = {}
    for name, part in sample.items():
        merged[name] = {**part, **given.get(name, {})}
    return merged


def _explain(policy: PolicySpec, view: dict[str, Any]) -> str:
    name = policy['name']
    try:
        decision = evaluate_policy(policy, view, str(view['request']['model']))
    except PolicyError as error:
        return f'{name}: fails: {error.field}: {error}'
    if not decision.allow:
        reason = policy.get('allow')
        return f'{name}: refuses, because {reason!r} is false'
    return '{}: allows; models {}; budgets {}; priority {}'.format(
        name,
        ', '.join(decision.models),
        ', '.join(decision.budgets),
        decision.priority,
    )
