"""Why there was no room in a budget, told truthfully."""

from typing import Final

from dykemast._internal.models.requests import Code, Ran, Refusal
from dykemast._internal.operations.holder import Holder
from dykemast._internal.path.parts import Parts

#: Seconds after which coming back may help when the platform is away.
UNAVAILABLE_RETRY_AFTER_S: Final = 5
#: Seconds after which coming back may help when a budget is empty.
EMPTY_RETRY_AFTER_S: Final = 60


def is_empty(holder: Holder, tokens: int) -> bool:
    """Tell whether a whole budget has too little left for a request.

    :param holder: this router's lease of it.
    :param tokens: what the request needs.
    :returns: whether that is known.
    """
    ack = holder.lease.ack
    return ack is not None and ack.unspent < tokens


def refuse_hold(parts: Parts, holder: Holder, tokens: int) -> Refusal:
    """Say why a request got no tokens.

    :param parts: parts of the router.
    :param holder: this router's lease.
    :param tokens: what the request needs.
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
