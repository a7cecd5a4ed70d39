"""Send a request, and once more where that is safe."""

import time
from collections.abc import Awaitable, Callable
from typing import Any, Final

from dykemast._internal.exceptions import UpstreamError
from dykemast._internal.models.backend import BackendServer
from dykemast._internal.models.routing_table import RouteKind
from dykemast._internal.operations.retry_allowance import RetryAllowance
from dykemast._internal.serving.choices import choose_server
from dykemast._internal.serving.parts import Parts, Ticket
from dykemast._internal.serving.refusals import RefusalCode, RefusedError
from dykemast._internal.utils.events import make_logger

_log = make_logger('route')

#: Seconds after which a request may come back when no server took it.
SERVER_RETRY: Final = 0.4
#: Seconds that have to be left for another try to make sense.
MIN_TIME_LEFT: Final = 0.05

Deliver = Callable[[BackendServer], Awaitable[None]]


class Attempts:
    """Sends of one request.

    :param parts: parts of the program.
    :param ticket: the request.
    """

    def __init__(self, parts: Parts, ticket: Ticket) -> None:
        """Send nothing yet."""
        self._parts = parts
        self._ticket = ticket
        self.tried: list[str] = []
        #: Whether the request may have run.
        self.may_have_run = False

    async def run(self, deliver: Deliver) -> None:
        """Send the request until it is delivered.

        :param deliver: sends it to one server and passes the answer on.
        :raises RefusedError: when it was not, and nothing more can be done.
        """
        self._open_allowance().note_request(time.monotonic())
        failure: UpstreamError | None = None
        while True:
            server = self._choose(failure)
            self.tried.append(server.name)
            try:
                await deliver(server)
            except UpstreamError as error:
                failure = error
                self._note_failure(server, error)
                self._check_retry(error)
            else:
                self._note_outcome(server, failed=False)
                return

    def _choose(self, failure: UpstreamError | None) -> BackendServer:
        server = choose_server(self._parts, self._ticket, self.tried)
        if server is None:
            raise self._refuse(failure)
        load = self._parts.loads.measure(server.name)
        _log(
            'send',
            **self._identify(),
            server=server.name,
            nth=len(self.tried) + 1,
            running=load.running,
            unread=load.unread,
            trust=round(
                self._parts.trust.measure(server.name, time.monotonic()), 2
            ),
        )
        return server

    def _note_failure(
        self,
        server: BackendServer,
        error: UpstreamError,
    ) -> None:
        self.may_have_run = self.may_have_run or error.sent
        self._note_outcome(server, failed=True)
        _log(
            'send_failed',
            **self._identify(),
            server=server.name,
            may_have_run=error.sent,
            reason=str(error),
        )

    def _note_outcome(self, server: BackendServer, *, failed: bool) -> None:
        now = time.monotonic()
        self._parts.trust.note_outcome(server.name, now, failed=failed)
        outcome = 'failed' if failed else 'done'
        self._parts.meters.sends.inc(
            {
                'service': self._ticket.service.name,
                'outcome': outcome,
            }
        )

    def _check_retry(self, error: UpstreamError) -> None:
        """Find out whether another server may get the request.

        :raises RefusedError: when none may.
        """
        route = self._ticket.route
        left = self._ticket.deadline - time.monotonic()
        repeatable = is_repeatable(self._ticket)
        if left < MIN_TIME_LEFT or (error.sent and not repeatable):
            raise self._refuse(error)
        if len(self.tried) >= route.max_workers and not error.unconnected:
            raise self._refuse(error)
        routers = 1 + len(self._parts.board.peers)
        if not self._open_allowance().spend(time.monotonic(), routers):
            raise self._refuse(error)

    def _open_allowance(self) -> RetryAllowance:
        name = self._ticket.service.name
        allowance = self._parts.retries.get(name)
        if allowance is None:
            bounds = self._parts.board.settings.bounds
            allowance = RetryAllowance(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window
            )
            self._parts.retries[name] = allowance
        return allowance

    def _refuse(self, failure: UpstreamError | None) -> RefusedError:
        details = {'tried': self.tried, 'reason': str(failure)}
        if not self.may_have_run:
            return RefusedError(RefusalCode.no_server, details, SERVER_RETRY)
        if time.monotonic() >= self._ticket.deadline - MIN_TIME_LEFT:
            return RefusedError(RefusalCode.too_late, details)
        return RefusedError(RefusalCode.upstream_failed, details)

    def _identify(self) -> dict[str, Any]:
        return {
            'request': self._ticket.request.request_id,
            'service': self._ticket.service.name,
        }


def is_repeatable(ticket: Ticket) -> bool:
    """Tell whether a request may run more than once.

    :param ticket: the request.
    :returns: whether it may.
    """
    route = ticket.route
    return route.kind is RouteKind.safe or route.resumable
