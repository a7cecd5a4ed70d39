"""Sends of a request, with retries where they are safe."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from dykemast._internal.exceptions import UpstreamError
from dykemast._internal.models.backend import BackendServer
from dykemast._internal.serving.choice.outcomes import get_retry_budget
from dykemast._internal.serving.relay.exchange import Exchange
from dykemast._internal.serving.relay.retries import (
    has_time_left,
    may_retry,
    may_try_another,
    compute_retry_after,
    spend_allowance,
)
from dykemast._internal.serving.relay.send_outcomes import (
    record_failure,
    record_success,
)
from dykemast._internal.serving.relay.server_search import (
    find_server,
    find_survivor,
)
from dykemast._internal.serving.relay.sends import Send, log_send
from dykemast._internal.serving.requests.refusals import (
    RefusalCode,
    RefusedError,
)
from dykemast._internal.utils.clock import read_clock

Deliver = Callable[[Send], Awaitable[None]]
Prepare = Callable[[], Awaitable[None]]


class _Failure(NamedTuple):
    """A send that failed.

    :param send: the send.
    :param error: its error.
    :param at: seconds on the monotonic clock.
    """

    send: Send
    error: UpstreamError
    at: float


class Attempts:
    """The sends of one request.

    :param exchange: the request.
    :param prepare: called before each send.
    """

    def __init__(
        self,
        exchange: Exchange,
        prepare: Prepare | None = None,
    ) -> None:
        """Create the sends of a request; none is started."""
        self._exchange = exchange
        self._prepare = prepare
        self._parts = exchange.parts
        self._admitted = exchange.admitted
        self._identity = exchange.identity
        #: Names of the servers that got a send.
        self.tried: list[str] = []
        self._failures: list[_Failure] = []
        #: Whether the request may have run.
        self.may_have_run = False

    def restrict(self, server_version: str) -> None:
        """Restrict further sends to servers of one version.

        :param server_version: version of the servers.
        """
        self._admitted = self._admitted._replace(server_version=server_version)
        self._exchange = self._exchange._replace(admitted=self._admitted)

    async def run(self, deliver: Deliver) -> None:
        """Send the request until it is delivered.

        :param deliver: sends the request to one server and delivers the
            response.
        :raises RefusedError: when delivery failed and no retry is possible.
        """
        allowance = get_retry_budget(self._parts, self._admitted.service.name)
        allowance.record_request(read_clock())
        while not await self._send_once(deliver):
            error = self._failures[-1].error
            if not may_retry(self._exchange, len(self._failures), error):
                raise self._refuse(error)

    async def _send_once(self, deliver: Deliver) -> bool:
        """Send the request once.

        :returns: whether it was delivered.
        """
        if self._prepare:
            # May wait, so it precedes decisions that depend on current state.
            await self._prepare()
        send = self._make_send(await self._find_server())
        log_send(self._parts, self._admitted, send, len(self._failures) + 1)
        try:
            await deliver(send)
        except UpstreamError as error:
            self._failures.append(_Failure(send, error, read_clock()))
            self.may_have_run = self.may_have_run or error.sent
            record_failure(self._exchange, send, error)
            return False
        record_success(self._exchange, send)
        return True

    def _make_send(self, server: BackendServer) -> Send:
        avoids_link = False
        if self._failures:
            last = self._failures[-1]
            # The connection of a peer may have broken as well.
            returns = server.name in self.tried and last.send.avoids_link
            tunnels = self._parts.paths.tunnels
            avoids_link = last.error.broken and (
                not returns or tunnels.may_open(server, is_sound=True)
            )
        if server.name not in self.tried:
            self.tried.append(server.name)
        return Send(
            server, read_clock(), self._identity, avoids_link=avoids_link
        )

    async def _find_server(self) -> BackendServer:
        error = self._failures[-1].error if self._failures else None
        try:
            server = await _find_server(
                self._exchange, self.tried, self._failures
            )
        except RefusedError as refused:
            raise self._refuse(error, refused) from refused
        if server is None:
            raise self._refuse(error)
        return server

    def _refuse(
        self,
        failure: UpstreamError | None,
        refused: RefusedError | None = None,
    ) -> RefusedError:
        links = self._parts.board.links
        details = {
            'tried': self.tried,
            'reason': str(failure),
            **links.describe(self._admitted.service.name, read_clock()),
        }
        if not self.may_have_run:
            retry_after_s = compute_retry_after(self._exchange)
            return refused or RefusedError(
                RefusalCode.no_server, details, retry_after_s
            )
        if not has_time_left(self._admitted):
            return RefusedError(RefusalCode.too_late, details)
        return RefusedError(RefusalCode.upstream_failed, details)


async def _find_server(
    exchange: Exchange, tried: list[str], failures: list[_Failure]
) -> BackendServer | None:
    if not failures:
        return await find_server(exchange, tried)
    error = failures[-1].error
    if may_try_another(exchange, len(tried), error):
        return await _find_another(exchange, tried, failures)
    survivor = await _find_survivor(exchange, failures)
    if survivor and spend_allowance(exchange, error):
        return survivor
    return None


async def _find_another(
    exchange: Exchange, tried: list[str], failures: list[_Failure]
) -> BackendServer | None:
    error = failures[-1].error
    if not spend_allowance(exchange, error):
        return None
    try:
        return await find_server(exchange, tried)
    except RefusedError:
        if not error.broken:
            raise
    return await _find_survivor(exchange, failures)


async def _find_survivor(
    exchange: Exchange, failures: list[_Failure]
) -> BackendServer | None:
    """Find a server that was tried and whose link broke, not the server."""
    if not failures[-1].error.broken:
        return None
    # The last connection of a request that avoids its link is one of a peer.
    is_peer_suspect = failures[-1].send.avoids_link
    links = exchange.parts.board.links
    last = {one.send.server.name: one for one in failures}.values()

    def list_survivors() -> list[str] | None:
        unchecked = [one for one in last if not _was_found_up(exchange, one)]
        survivors = [
            one.send.server.name
            for one in last
            if one not in unchecked
            and (is_peer_suspect or links.is_broken(one.send.server))
        ]
        if survivors:
            return survivors
        pending = any(_may_be_up(exchange, one) for one in unchecked)
        return [] if pending else None

    return await find_survivor(exchange, list_survivors)


def _was_found_up(exchange: Exchange, failure: _Failure) -> bool:
    up_at = exchange.parts.board.broken.up_at
    return up_at.get(failure.send.server.name, 0) > failure.at


def _may_be_up(exchange: Exchange, failure: _Failure) -> bool:
    board, name = exchange.parts.board, failure.send.server.name
    if name not in board.servers or name in board.leaving:
        return False
    return not exchange.parts.loads.absent.is_absent(name, read_clock())
