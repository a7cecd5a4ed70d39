"""One request from its admission to its bill."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any, Final, NamedTuple

import logbook

from dykemast._internal.models.journal import Entry, EntryKind, Verdict
from dykemast._internal.models.requests import RequestContext
from dykemast._internal.operations.holder import Holder
from dykemast._internal.path.parts import Parts
from dykemast._internal.utils.clock import (
    read_clock,
    read_time_of_day,
)

_log = logbook.Logger('bill')

#: Outcome of an answer that reached its end.
WHOLE: Final = 'whole'
#: Outcome of an answer that broke off.
CUT: Final = 'cut'


class Hold(NamedTuple):
    """Tokens reserved for a request.

    :param budget: name of the budget.
    :param holder: the lease they are reserved in.
    :param tokens: how many.
    """

    budget: str
    holder: Holder
    tokens: int


class Outcome(NamedTuple):
    """How an attempt ended.

    :param charged: tokens taken from the budget, an upper bound when the
        backend server did not report.
    :param billed: tokens on the bill.
    :param text: ``whole``, ``cut`` or why it failed.
    :param answer: short answer to replay, or empty.
    """

    charged: int
    billed: int
    text: str = WHOLE
    answer: str = ''


class Job:
    """What a request has taken, to be given back exactly once.

    :param parts: parts of the router.
    :param context: the request.
    """

    def __init__(self, parts: Parts, context: RequestContext) -> None:
        """Count the request as in progress."""
        self.context = context
        self._parts = parts
        self.hold: Hold | None = None
        self._releases = contextlib.ExitStack()
        self._released = False
        traffic = parts.board.traffic
        traffic.inflight += 1
        mine = traffic.by_workspace.get(context.workspace, 0)
        traffic.by_workspace[context.workspace] = mine + 1

    async def wait_turn(self) -> None:
        """Wait for the requests before it that ask for the same order."""
        if self.context.order_key:
            turn = await self._parts.turns.take(self.context.order_key)
            self.on_release(self._parts.turns.end, self.context.order_key, turn)

    def on_release(self, act: Callable[..., None], *arguments: Any) -> None:
        """Have something done when the job lets go of everything.

        :param act: what to do.
        :param arguments: its arguments.
        """
        self._releases.callback(act, *arguments)

    def charge_failed_attempt(self) -> bool:
        """Charge an attempt whose usage is unknown; reserve for another.

        :returns: whether there was room for another.
        """
        hold = self.hold
        if hold is None or not hold.tokens:
            return True
        hold.holder.usage.settle(hold.tokens, hold.tokens)
        if hold.holder.take_hold(hold.tokens, read_clock()):
            return True
        self.hold = None
        return False

    async def finish(self, outcome: Outcome) -> Verdict:
        """Settle the hold, write the bill and let go of everything.

        :param outcome: how the attempt ended.
        :returns: whether the bill stands, or an earlier one does.
        """
        budget = self.hold.budget if self.hold else ''
        self._settle(outcome.charged)
        entry = _make_entry(self.context, budget, outcome)
        # A caller who goes away now must not take the bill along.
        recording = asyncio.ensure_future(self._parts.bills.record(entry))
        recording.add_done_callback(lambda _: self.release())
        return await asyncio.shield(recording)

    def release(self) -> None:
        """Let go of everything; nothing was consumed after the last charge."""
        if self._released:
            return
        self._released = True
        self._settle(0)
        traffic = self._parts.board.traffic
        traffic.inflight -= 1
        left = traffic.by_workspace.pop(self.context.workspace) - 1
        if left:
            traffic.by_workspace[self.context.workspace] = left
        self._releases.close()

    def _settle(self, charged: int) -> None:
        hold = self.hold
        if hold is None:
            return
        self.hold = None
        hold.holder.usage.settle(hold.tokens, charged)
        if charged > hold.tokens:
            _log.error(
                'bill: {} consumed {} with a hold of {}.',
                self.context.request,
                charged,
                hold.tokens,
            )


def _make_entry(
    context: RequestContext, budget: str, outcome: Outcome
) -> Entry:
    return Entry(
        key=f'{context.workspace}|{context.key}',
        kind=EntryKind.finished,
        run=context.request,
        budget=budget,
        tokens=outcome.billed,
        outcome=outcome.text,
        at=read_time_of_day(),
        answer=outcome.answer,
    )
