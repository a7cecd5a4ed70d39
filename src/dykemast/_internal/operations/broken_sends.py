"""Sends that broke off, until it is known whether their servers ended."""

import asyncio
from typing import Final, NamedTuple

from dykemast._internal.operations.crash_sequences import CrashedRun

#: Seconds from the first event on after which a run has begun well: whoever
#: ends a server does so when it begins to run.
SUSPECT_WINDOW_S: Final = 1.0
#: Seconds within which ends count as one moment: what it takes until a loss of
#: all servers of a service is noticed at each of them.
SIMULTANEOUS_WINDOW_S: Final = 1.0
#: Seconds after which it does not matter any more why a send broke off: the
#: entry of a server that ended is gone by then, or names another start.
BROKEN_SEND_RETENTION_S: Final = 6.0


class BrokenSend(NamedTuple):
    """A send whose connection ended before the answer did.

    :param server: name of the start of the server.
    :param request: digest of the request.
    :param sent_at: seconds on the steady clock.
    :param event_at: when its first event had come; None for never.
    :param broken_at: when it broke off.
    """

    server: str
    request: str
    sent_at: float
    event_at: float | None
    broken_at: float

    def had_just_begun(self) -> bool:
        """Tell whether the request may have ended its server.

        :returns: whether it may.
        """
        if self.event_at is None:
            return True
        return self.broken_at - self.event_at <= SUSPECT_WINDOW_S


class BrokenSends:
    """Sends that broke off lately, by server."""

    def __init__(self) -> None:
        """Know of none."""
        self._sends: dict[str, list[BrokenSend]] = {}
        #: When a server last ended to which sends had broken off, by service.
        self.ended_at: dict[str, float] = {}
        #: Set while there are any, or such a server ended a moment ago.
        self.pending = asyncio.Event()

    def note(self, broken: BrokenSend) -> None:
        """Take note of a send that broke off.

        :param broken: the send.
        """
        self._sends.setdefault(broken.server, []).append(broken)
        self.pending.set()

    def record_server_crash(self, service: str, now: float) -> None:
        """Take note that a server ended whose sends broke off.

        :param service: that it served.
        :param now: seconds.
        """
        self.ended_at[service] = now
        self.pending.set()

    def list_last(self) -> dict[str, float]:
        """List the servers whose sends broke off.

        :returns: when the last one did, by name of the server's start.
        """
        return {
            server: sends[-1].broken_at for server, sends in self._sends.items()
        }

    def take(self, server: str) -> list[BrokenSend]:
        """Take the sends of a server that has ended.

        :param server: name of its start.
        :returns: the sends; they are not kept any longer.
        """
        return self._sends.pop(server, [])

    def forget(self, now: float) -> None:
        """Forget the sends that broke off too long ago.

        :param now: seconds.
        """
        self._sends = {
            server: sends
            for server, sends in self._sends.items()
            if now - sends[0].broken_at < BROKEN_SEND_RETENTION_S
        }
        self.ended_at = {
            service: at
            for service, at in self.ended_at.items()
            if now - at < SIMULTANEOUS_WINDOW_S
        }
        if not self._sends and not self.ended_at:
            self.pending.clear()

    def list_runs(self, request: str) -> list[CrashedRun]:
        """List the runs of a request that broke off as it had just begun.

        :param request: its digest.
        :returns: the runs, as if their servers had ended.
        """
        return [
            CrashedRun(one.server, one.sent_at, one.broken_at)
            for sends in self._sends.values()
            for one in sends
            if one.request == request and one.had_just_begun()
        ]
