"""Evaluation of a policy for one request."""

from typing import Any, Final, NamedTuple

from dykemast._internal.models.revisions import PolicySpec
from dykemast._internal.operations.expressions import (
    PolicyError,
    evaluate_expression,
)

#: Bound on the names in a list that an expression gives.
MAX_NAMES: Final = 16
#: Priority of requests whose policy gives none; 0 to 9, 9 most urgent.
DEFAULT_PRIORITY: Final = 5
#: Whether requests may spend when their policy has no ``allow``.
DEFAULT_ALLOW: Final = True
#: Budget that pays when a policy names none.
DEFAULT_BUDGET: Final = 'main'
_MAX_PRIORITY: Final = 9


class Decision(NamedTuple):
    """Result of a policy for one request.

    :param allow: whether it may spend.
    :param models: models to try, in order.
    :param budgets: budgets to draw on, in order.
    :param priority: 0 to 9, 9 most urgent.
    """

    allow: bool
    models: tuple[str, ...]
    budgets: tuple[str, ...]
    priority: int


def evaluate_policy(
    policy: PolicySpec,
    view: dict[str, Any],
    model: str,
) -> Decision:
    """Evaluate a policy for one request.

    :param policy: the policy with its expressions.
    :param view: values of ``request``, ``budget`` and ``fleet``.
    :param model: the model that the request names.
    :returns: the decision.
    :raises PolicyError: when an expression fails or gives the wrong type.
    """
    priority = _evaluate(policy, 'priority', view, DEFAULT_PRIORITY)
    return Decision(
        allow=_evaluate(policy, 'allow', view, DEFAULT_ALLOW),
        models=_evaluate_names(policy, 'models', view, model),
        budgets=_evaluate_names(policy, 'budgets', view, DEFAULT_BUDGET),
        priority=min(_MAX_PRIORITY, max(0, priority)),
    )


def _evaluate(policy: PolicySpec, field: str, view: Any, default: Any) -> Any:
    texts: dict[str, Any] = dict(policy)
    if field not in texts:
        return default
    outcome = evaluate_expression(field, texts[field], view)
    if isinstance(outcome, default.__class__):
        return outcome
    kind = type(default).__name__
    got = type(outcome).__name__
    raise PolicyError(field, f'must give a {kind}, got {got}.')


def _evaluate_names(
    policy: PolicySpec,
    field: str,
    view: Any,
    default: str,
) -> tuple[str, ...]:
    names = _evaluate(policy, field, view, [default])
    texts = [name for name in names if isinstance(name, str)]
    if len(names) > MAX_NAMES or len(texts) < len(names):
        raise PolicyError(field, f'must give up to {MAX_NAMES} names.')
    return tuple(texts)
