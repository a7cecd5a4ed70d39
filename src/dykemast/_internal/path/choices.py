"""Apply the workspace's policy to a request."""

from typing import Any, NamedTuple

import logbook

from dykemast._internal.controllers.bills import MAX_KEPT_BILLS
from dykemast._internal.models.requests import RequestContext, Code, Refusal
from dykemast._internal.models.revisions import (
    Configuration,
    PolicySpec,
    WorkspaceSpec,
)
from dykemast._internal.operations.confirmed_lease import (
    DEATH_DETECTION_S,
    LeaseTerms,
)
from dykemast._internal.operations.expressions import PolicyError
from dykemast._internal.operations.policies import Decision, evaluate_policy
from dykemast._internal.path import policy_views
from dykemast._internal.path.holds import Wanted, take_hold
from dykemast._internal.path.jobs import Hold, Job
from dykemast._internal.path.parts import Parts, RefusedError

_log = logbook.Logger('policy')


class Choice(NamedTuple):
    """A policy's decision about one request.

    :param workspace: the caller's workspace.
    :param decision: result of the policy.
    """

    workspace: WorkspaceSpec
    decision: Decision


def choose(
    parts: Parts,
    configuration: Configuration,
    workspace: WorkspaceSpec,
    request: dict[str, Any],
) -> Choice:
    """Evaluate the workspace's policy.

    :param parts: shared components of the router.
    :param configuration: in force.
    :param workspace: the caller's workspace.
    :param request: the value of ``request`` in the policy.
    :returns: its decision.
    :raises RefusedError: when it fails or does not allow the request.
    """
    view = policy_views.view_all(parts, workspace['name'], request)
    policy = _find_policy(configuration, workspace['policy'])
    try:
        decision = evaluate_policy(policy, view, str(request['model']))
    except PolicyError as error:
        text = f'The policy of the workspace failed: {error.field}: {error}'
        raise RefusedError(Refusal(Code.policy_failed, text)) from error
    _log.info('policy: {} decided {}.', workspace['policy'], decision)
    if decision.allow:
        return Choice(workspace, decision)
    text = 'The policy of the workspace does not allow this request.'
    raise RefusedError(Refusal(Code.not_allowed, text))


def _find_policy(configuration: Configuration, name: str) -> PolicySpec:
    return next(one for one in configuration['policies'] if one['name'] == name)


async def hold_first_available(
    parts: Parts,
    context: RequestContext,
    choice: Choice,
    tokens: int,
) -> Hold:
    """Reserve tokens of the first chosen budget that has enough.

    :param parts: shared components of the router.
    :param context: the request context.
    :param choice: decision that lists the budgets.
    :param tokens: tokens to reserve.
    :returns: the hold.
    :raises RefusedError: when no budget has enough tokens.
    """
    terms = _choose_terms(parts, choice.workspace)
    failure = RefusedError(Refusal(Code.budget_empty, 'No budget is named.'))
    for name in choice.decision.budgets:
        wanted = Wanted(f'{context.workspace}/{name}', terms, tokens)
        try:
            return await take_hold(parts, context, wanted)
        except RefusedError as error:
            _log.info(
                'policy: {} got no tokens of budget {}.', context.request, name
            )
            failure = error
    raise failure


def _choose_terms(parts: Parts, workspace: WorkspaceSpec) -> LeaseTerms:
    lag = parts.board.settings.get('list_lag', 0)
    return LeaseTerms(
        horizon_s=workspace.get('lease_horizon', LeaseTerms().horizon_s),
        arming_delay_s=lag + DEATH_DETECTION_S,
    )


def check_journal(parts: Parts, job: Job) -> None:
    """Check that a bill for this request could be kept in memory.

    :param parts: shared components of the router.
    :param job: the request.
    :raises RefusedError: when too many bills wait for the journal.
    """
    if len(parts.bills.kept) >= MAX_KEPT_BILLS:
        text = 'Too many bills wait to be written.'
        raise RefusedError(Refusal(Code.platform_away, text, retry_after=5))
