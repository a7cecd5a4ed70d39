"""Reserve tokens for a request before anything is sent."""

import contextlib
import time
from typing import Final, NamedTuple

import logbook

from dykemast._internal.models.requests import Ask, Code, Ran, Refusal
from dykemast._internal.operations.holder import Holder, LeaseTerms
from dykemast._internal.path.jobs import Hold
from dykemast._internal.path.parts import Parts, RefusedError

_log = logbook.Logger('hold')

#: Seconds that a request waits for tokens of its budget at most.
HOLD_WAIT: Final = 2.0
#: Seconds after which coming back may help when the platform is away.
AWAY_RETRY: Final = 5
#: Seconds after which coming back may help when a budget is empty.
EMPTY_RETRY: Final = 60


class Wanted(NamedTuple):
    """What a request wants to reserve.

    :param budget: full name of the budget.
    :param terms: settings of a new lease.
    :param tokens: upper bound of what the request can consume.
    """

    budget: str
    terms: LeaseTerms
    tokens: int


async def take_hold(parts: Parts, ask: Ask, wanted: Wanted) -> Hold:
    """Reserve tokens of one budget.

    :param parts: parts of the router.
    :param ask: the request.
    :param wanted: how many, and of which.
    :returns: the hold.
    :raises RefusedError: when there is no room.
    """
    holder = parts.leases.book.open_holder(
        wanted.budget, wanted.terms, time.monotonic()
    )
    if not _take(holder, wanted.tokens):
        limit = min(ask.deadline, time.monotonic() + HOLD_WAIT)
        await _wait_for_room(parts, holder, wanted.tokens, limit)
    _log.info(
        'hold: {} takes {} of {}, {} left.',
        ask.request,
        wanted.tokens,
        wanted.budget,
        holder.count_room(time.monotonic()),
    )
    return Hold(wanted.budget, holder, wanted.tokens)


async def _wait_for_room(
    parts: Parts,
    holder: Holder,
    tokens: int,
    limit: float,
) -> None:
    budget = holder.owner.budget
    holder.usage.wait(tokens)
    with contextlib.ExitStack() as stack:
        stack.callback(holder.usage.wait, -tokens)
        while time.monotonic() < limit:
            parts.leases.find_renewer(budget).kick.set()
            await parts.leases.wait_news(limit - time.monotonic())
            if _take(holder, tokens) or await _borrow(parts, holder, tokens):
                return
            if _is_empty(holder, tokens):
                break
    raise RefusedError(_refuse(parts, holder, tokens))


def _take(holder: Holder, tokens: int) -> bool:
    return holder.take_hold(tokens, time.monotonic())


async def _borrow(parts: Parts, holder: Holder, tokens: int) -> bool:
    if not parts.leases.find_renewer(holder.owner.budget).away:
        return False
    holder.borrow(await parts.lending.borrow(holder.owner.budget, tokens))
    return _take(holder, tokens)


def _is_empty(holder: Holder, tokens: int) -> bool:
    ack = holder.lease.ack
    return ack is not None and ack.unspent < tokens


def _refuse(parts: Parts, holder: Holder, tokens: int) -> Refusal:
    budget = holder.owner.budget
    if _is_empty(holder, tokens):
        text = f'Budget {budget} has no {tokens} tokens left; top it up.'
        return Refusal(
            Code.budget_empty, text, Ran.not_run, retry_after=EMPTY_RETRY
        )
    if not parts.leases.find_renewer(budget).away:
        text = f'The last tokens of {budget} are held by other requests.'
        return Refusal(Code.budget_away, text, retry_after=1)
    text = f'No tokens of {budget} here while the platform is away.'
    return Refusal(Code.budget_away, text, retry_after=AWAY_RETRY)
