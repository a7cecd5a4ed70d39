"""What a policy decides about one request."""

from typing import Any, Final, NamedTuple

from dykemast._internal.models.revisions import PolicySpec
from dykemast._internal.operations.expressions import (
    PolicyError,
    run_expression,
)

#: Names in a list that an expression gives, at most.
MAX_NAMES: Final = 16
#: Priority of requests whose policy gives none, from 0 to 9.
DEFAULT_PRIORITY: Final = 5
#: Whether requests may spend whose policy does not say.
DEFAULT_ALLOW: Final = True
#: Budget that is drawn on when a policy names none.
DEFAULT_BUDGET: Final = 'main'
_MAX_PRIORITY: Final = 9


class Decision(NamedTuple):
    """What a policy decides about a request.

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
    """Run a policy.

    :param policy: its expressions.
    :param view: values of ``request``, ``budget`` and ``fleet``.
    :param model: the model that the request names.
    :returns: the decision.
    :raises PolicyError: when an expression fails or gives the wrong type.
    """
    priority = _run(policy, 'priority', view, DEFAULT_PRIORITY)
    return Decision(
        allow=_run(policy, 'allow', view, DEFAULT_ALLOW),
        models=_run_names(policy, 'models', view, model),
        budgets=_run_names(policy, 'budgets', view, DEFAULT_BUDGET),
        priority=min(_MAX_PRIORITY, max(0, priority)),
    )


def _run(policy: PolicySpec, field: str, view: Any, otherwise: Any) -> Any:
    texts: dict[str, Any] = dict(policy)
    if field not in texts:
        return otherwise
    outcome = run_expression(field, texts[field], view)
    if isinstance(outcome, otherwise.__class__):
        return outcome
    kind = type(otherwise).__name__
    raise PolicyError(field, f'must give a {kind}.')


def _run_names(
    policy: PolicySpec,
    field: str,
    view: Any,
    otherwise: str,
) -> tuple[str, ...]:
    names = _run(policy, field, view, [otherwise])
    texts = [name for name in names if isinstance(name, str)]
    if len(names) > MAX_NAMES or len(texts) < len(names):
        raise PolicyError(field, f'must give up to {MAX_NAMES} names.')
    return tuple(texts)
