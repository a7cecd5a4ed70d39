"""Send a request, and once more where that is safe."""

from collections.abc import Awaitable, Callable
from typing import Final

from dykemast._internal.exceptions import UpstreamError
from dykemast._internal.serving.admission.quarantine import (
    check_quarantine,
    find_suspicion,
)
from dykemast._internal.serving.choice.choices import choose_server
from dykemast._internal.serving.choice.outcomes import open_allowance
from dykemast._internal.serving.relay.exchange import Exchange
from dykemast._internal.serving.relay.retries import has_time, may_retry
from dykemast._internal.serving.relay.send_outcomes import (
    note_failure,
    note_success,
)
from dykemast._internal.serving.relay.sends import Send, log_send
from dykemast._internal.serving.requests.refusals import (
    RefusalCode,
    RefusedError,
)
from dykemast._internal.utils.clock import read_clock

#: Seconds after which a request may come back when no server took it.
SERVER_RETRY: Final = 0.4

Deliver = Callable[[Send], Awaitable[None]]


class Attempts:
    """Sends of one request.

    :param exchange: the request.
    """

    def __init__(self, exchange: Exchange) -> None:
        """Send nothing yet."""
        self._exchange = exchange
        self._parts = exchange.parts
        self._ticket = exchange.ticket
        self._identity = exchange.identity
        self.tried: list[str] = []
        #: Whether the request may have run.
        self.may_have_run = False

    async def run(self, deliver: Deliver) -> None:
        """Send the request until it is delivered.

        :param deliver: sends it to one server and passes the answer on.
        :raises RefusedError: when it was not, and nothing more can be done.
        """
        allowance = open_allowance(self._parts, self._ticket.service.name)
        allowance.note_request(read_clock())
        failure = await self._try(deliver, None)
        while failure:
            if not may_retry(self._exchange, len(self.tried), failure):
                raise self._refuse(failure)
            failure = await self._try(deliver, failure)

    async def _try(
        self,
        deliver: Deliver,
        before: UpstreamError | None,
    ) -> UpstreamError | None:
        """Send once.

        :returns: how it failed, or nothing.
        """
        self._check_quarantine(before)
        apart = find_suspicion(self._parts.board, self._identity)
        server = choose_server(self._parts, self._ticket, self.tried, apart)
        if server is None:
            raise self._refuse(before)
        self.tried.append(server.name)
        send = Send(server, read_clock(), self._identity)
        log_send(self._parts, self._ticket, send, len(self.tried))
        try:
            await deliver(send)
        except UpstreamError as error:
            self.may_have_run = self.may_have_run or error.sent
            note_failure(self._exchange, send, error)
            return error
        note_success(self._exchange, send)
        return None

    def _check_quarantine(self, failure: UpstreamError | None) -> None:
        """Check once more: since it was let in, others may have told."""
        try:
            check_quarantine(self._parts.board, self._identity)
        except RefusedError:
            if self.may_have_run:
                raise self._refuse(failure) from None
            raise

    def _refuse(self, failure: UpstreamError | None) -> RefusedError:
        details = {'tried': self.tried, 'reason': str(failure)}
        if not self.may_have_run:
            return RefusedError(RefusalCode.no_server, details, SERVER_RETRY)
        if not has_time(self._ticket):
            return RefusedError(RefusalCode.too_late, details)
        return RefusedError(RefusalCode.upstream_failed, details)
