"""State of one request from its admission to its bill."""

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

#: Outcome of a complete response.
WHOLE: Final = 'whole'
#: Outcome of a truncated response.
CUT: Final = 'cut'


class Hold(NamedTuple):
    """Tokens reserved for a request.

    :param budget: name of the budget.
    :param holder: the lease they are reserved in.
    :param tokens: number of tokens.
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
    :param answer: recorded response to replay, or empty.
    """

    charged: int
    billed: int
    text: str = WHOLE
    answer: str = ''


class Job:
    """Resources held by a request, released exactly once.

    :param parts: shared components of the router.
    :param context: the request context.
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
        """Wait for earlier requests with the same order key."""
        if self.context.order_key:
            turn = await self._parts.turns.take(self.context.order_key)
            self.on_release(self._parts.turns.end, self.context.order_key, turn)

    def on_release(self, act: Callable[..., None], *arguments: Any) -> None:
        """Register a callback for the release of the job.

        :param act: the callback.
        :param arguments: its arguments.
        """
        self._releases.callback(act, *arguments)

    def charge_failed_attempt(self) -> bool:
        """Charge a failed attempt in full and reserve tokens for a retry.

        :returns: whether tokens for a retry were available.
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
        """Settle the hold, write the bill and release the job.

        :param outcome: how the attempt ended.
        :returns: whether the bill stands, or an earlier one does.
        """
        budget = self.hold.budget if self.hold else ''
        self._settle(outcome.charged)
        entry = _make_entry(self.context, budget, outcome)
        # A caller that disconnects now must not cancel the bill.
        recording = asyncio.ensure_future(self._parts.bills.record(entry))
        recording.add_done_callback(lambda _: self.release())
        return await asyncio.shield(recording)

    def release(self) -> None:
        """Release all resources, charging nothing more."""
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
                'bill: {} consumed {} tokens, more than its hold of {}.',
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
