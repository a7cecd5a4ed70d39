"""Send a request, and once more where that is safe."""

import time
from collections.abc import Awaitable, Callable
from typing import Final

from dykemast._internal.exceptions import UpstreamError
from dykemast._internal.serving.choice.choices import choose_server
from dykemast._internal.serving.choice.outcomes import (
    note_absent,
    note_outcome,
    open_allowance,
)
from dykemast._internal.serving.relay.exchange import Exchange
from dykemast._internal.serving.relay.sends import Send, log_send
from dykemast._internal.serving.requests.refusals import (
    RefusalCode,
    RefusedError,
)
from dykemast._internal.utils.events import make_logger

_log = make_logger('route')

#: Seconds after which a request may come back when no server took it.
SERVER_RETRY: Final = 0.4
#: Seconds that have to be left for another try to make sense.
MIN_TIME_LEFT: Final = 0.05
#: Servers tried for one request at most, those included that were not there:
#: by choice, a few times what routes allow.
MAX_SENDS: Final = 5

Deliver = Callable[[Send], Awaitable[None]]


class Attempts:
    """Sends of one request.

    :param exchange: the request.
    """

    def __init__(self, exchange: Exchange) -> None:
        """Send nothing yet."""
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
        allowance.note_request(time.monotonic())
        failure = await self._try(deliver, None)
        while failure:
            if not self._may_retry(failure):
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
        server = choose_server(self._parts, self._ticket, self.tried)
        if server is None:
            raise self._refuse(before)
        self.tried.append(server.name)
        send = Send(server, time.monotonic())
        log_send(self._parts, self._ticket, send, len(self.tried))
        try:
            await deliver(send)
        except UpstreamError as error:
            self._note_failure(send, error)
            return error
        note_outcome(self._parts, server, failed=False)
        return None

    def _note_failure(self, send: Send, error: UpstreamError) -> None:
        server = send.server
        self.may_have_run = self.may_have_run or error.sent
        note_outcome(self._parts, server, failed=True)
        if error.absent:
            note_absent(self._parts, server)
        _log(
            'send_failed',
            request=self._ticket.request.request_id,
            server=server.name,
            may_have_run=error.sent,
            reason=str(error),
            **send.describe_break(error, self._identity),
        )

    def _may_retry(self, error: UpstreamError) -> bool:
        ticket = self._ticket
        if ticket.deadline - time.monotonic() < MIN_TIME_LEFT:
            return False
        if error.sent and not ticket.is_repeatable():
            return False
        if not self._has_sends_left(error):
            return False
        if error.unconnected:
            # Nothing arrived anywhere, so there is nothing to repeat.
            return True
        allowance = open_allowance(self._parts, ticket.service.name)
        routers = 1 + len(self._parts.board.peers)
        return allowance.spend(time.monotonic(), routers)

    def _has_sends_left(self, error: UpstreamError) -> bool:
        if error.unconnected or error.absent:
            # The server that was meant did not get it.
            return len(self.tried) < MAX_SENDS
        return len(self.tried) < self._ticket.route.max_workers

    def _refuse(self, failure: UpstreamError | None) -> RefusedError:
        details = {'tried': self.tried, 'reason': str(failure)}
        if not self.may_have_run:
            return RefusedError(RefusalCode.no_server, details, SERVER_RETRY)
        if time.monotonic() >= self._ticket.deadline - MIN_TIME_LEFT:
            return RefusedError(RefusalCode.too_late, details)
        return RefusedError(RefusalCode.upstream_failed, details)
