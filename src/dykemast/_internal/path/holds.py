"""Reserve tokens for a request before it is sent."""

import contextlib
from typing import Final, NamedTuple

import logbook

from dykemast._internal.models.requests import RequestContext
from dykemast._internal.operations.confirmed_lease import LeaseTerms
from dykemast._internal.operations.holder import Holder
from dykemast._internal.path.hold_refusals import is_empty, refuse_hold
from dykemast._internal.path.jobs import Hold
from dykemast._internal.path.parts import Parts, RefusedError
from dykemast._internal.utils.clock import read_clock

_log = logbook.Logger('hold')

#: Covers a shard owner that times out, and two calls to a slow platform.
HOLD_TIMEOUT_S: Final = 4.0


class Wanted(NamedTuple):
    """Tokens that a request needs to reserve.

    :param budget: full name of the budget.
    :param terms: terms of a new lease.
    :param tokens: upper bound of what the request can consume.
    """

    budget: str
    terms: LeaseTerms
    tokens: int


async def take_hold(
    parts: Parts, context: RequestContext, wanted: Wanted
) -> Hold:
    """Reserve tokens of one budget.

    :param parts: shared components of the router.
    :param context: the request context.
    :param wanted: tokens to reserve, and their budget.
    :returns: the hold.
    :raises RefusedError: when too few tokens are available.
    """
    holder = parts.leases.lease_registry.get_holder(
        wanted.budget, wanted.terms, read_clock()
    )
    if not _take(holder, wanted.tokens):
        limit = min(context.deadline, read_clock() + HOLD_TIMEOUT_S)
        await _wait_for_tokens(parts, holder, wanted.tokens, limit)
    _log.info(
        'hold: {} reserved {} tokens of {}, {} available.',
        context.request,
        wanted.tokens,
        wanted.budget,
        holder.count_available(read_clock()),
    )
    return Hold(wanted.budget, holder, wanted.tokens)


async def _wait_for_tokens(
    parts: Parts,
    holder: Holder,
    tokens: int,
    limit: float,
) -> None:
    budget = holder.owner.budget
    holder.usage.wait(tokens)
    with contextlib.ExitStack() as stack:
        stack.callback(holder.usage.wait, -tokens)
        while read_clock() < limit:
            parts.leases.find_renewer(budget).kick.set()
            await parts.leases.wait_for_renewal(limit - read_clock())
            if _take(holder, tokens) or await _borrow(parts, holder, tokens):
                return
            if is_empty(holder, tokens):
                break
            await _recall(parts, holder)
    raise RefusedError(refuse_hold(parts, holder, tokens))


def _take(holder: Holder, tokens: int) -> bool:
    return holder.take_hold(tokens, read_clock())


async def _recall(parts: Parts, holder: Holder) -> None:
    renewer = parts.leases.find_renewer(holder.owner.budget)
    if holder.lease.ack and not renewer.away:
        await parts.lending.recall(holder.owner.budget)


async def _borrow(parts: Parts, holder: Holder, tokens: int) -> bool:
    if not parts.leases.find_renewer(holder.owner.budget).away:
        return False
    holder.borrow(await parts.lending.borrow(holder.owner.budget, tokens))
    return _take(holder, tokens)
