"""Refusals of requests that got no tokens of a budget."""

from typing import Final

from dykemast._internal.models.requests import Code, Ran, Refusal
from dykemast._internal.operations.holder import Holder
from dykemast._internal.path.parts import Parts

#: Retry-After while the platform is unavailable.
UNAVAILABLE_RETRY_AFTER_S: Final = 5
#: Retry-After of an empty budget.
EMPTY_RETRY_AFTER_S: Final = 60


def is_empty(holder: Holder, tokens: int) -> bool:
    """Check whether a budget has too few tokens left for a request.

    :param holder: this router's lease of the budget.
    :param tokens: tokens that the request needs.
    :returns: whether that is confirmed.
    """
    ack = holder.lease.ack
    return ack is not None and ack.unspent < tokens


def refuse_hold(parts: Parts, holder: Holder, tokens: int) -> Refusal:
    """Make the refusal of a request that got no tokens.

    :param parts: shared components of the router.
    :param holder: this router's lease.
    :param tokens: tokens that the request needs.
    :returns: the refusal.
    """
    budget = holder.owner.budget
    if is_empty(holder, tokens):
        text = f'Budget {budget} has no {tokens} tokens left; top it up.'
        return Refusal(
            Code.budget_empty,
            text,
            Ran.not_run,
            retry_after=EMPTY_RETRY_AFTER_S,
        )
    if not parts.leases.find_renewer(budget).away:
        text = f'The last tokens of {budget} are held by other requests.'
        return Refusal(Code.budget_away, text, retry_after=1)
    text = f'No tokens of {budget} here while the platform is away.'
    return Refusal(
        Code.budget_away, text, retry_after=UNAVAILABLE_RETRY_AFTER_S
    )
