"""Sends whose connection broke, kept until the cause is known."""

import asyncio
import math
from typing import Final, NamedTuple

from dykemast._internal.operations.crash_sequences import CrashedRun

#: A request that crashes its server does so when it starts to run. After this
#: time from its first event it is not a suspect.
SUSPECT_WINDOW_S: Final = 1.0
#: Crashes within this time count as one: the time until a loss of all servers
#: of a service is noticed on each of them.
SIMULTANEOUS_WINDOW_S: Final = 1.0
#: By then the entry of a crashed server has been removed or names another
#: incarnation, so the cause of a broken send no longer matters.
BROKEN_SEND_RETENTION_S: Final = 6.0
#: Time after a broken send by which the entry of a server that was started
#: again has been read.
RESTART_LISTED_S: Final = 2.0


class BrokenSend(NamedTuple):
    """A send whose connection broke before the response was complete.

    :param server: incarnation name of the server.
    :param request: digest of the request.
    :param sent_at: seconds on the monotonic clock.
    :param event_at: time of the first event; None if there was none.
    :param broken_at: time at which the connection broke.
    :param parts: names of the parts of its prompt that others may share.
    """

    server: str
    request: str
    sent_at: float
    event_at: float | None
    broken_at: float
    parts: tuple[str, ...] = ()

    def had_just_started(self) -> bool:
        """Check whether the request may have crashed the server.

        :returns: whether it had just started to run.
        """
        if self.event_at is None:
            return True
        return self.broken_at - self.event_at <= SUSPECT_WINDOW_S


class BreakTimes:
    """Times of the last broken sends, by incarnation name of their server.

    A server that answers after that may have been started again, as its next
    process keeps the name of the incarnation until its entry changes.
    """

    def __init__(self) -> None:
        """Start without any broken sends."""
        self.last: dict[str, float] = {}
        #: Times at which other routers were asked about a server, and at which
        #: those that answered knew of no other break.
        self._asked_at: dict[str, float] = {}
        self._sound_at: dict[str, float] = {}

    def record(self, server: str, now: float) -> None:
        """Record a broken send.

        :param server: incarnation name of the server.
        :param now: seconds on the monotonic clock.
        """
        self.last[server] = now

    def record_answer(self, server: str, now: float, *, is_sound: bool) -> None:
        """Record what other routers know of a server.

        :param server: incarnation name of the server.
        :param now: seconds on the monotonic clock at which they were asked.
        :param is_sound: whether none of them had a broken send to it.
        """
        self._asked_at[server] = now
        if is_sound:
            self._sound_at[server] = now

    def list_recent(self, now: float) -> list[str]:
        """List the servers that may have been started again.

        :param now: seconds on the monotonic clock.
        :returns: their incarnation names.
        """
        return [
            server
            for server, broken_at in self.last.items()
            if now - broken_at < RESTART_LISTED_S
        ]

    def may_have_restarted(self, server: str, now: float) -> bool:
        """Tell whether a server may have been started again.

        :param server: incarnation name of the server.
        :param now: seconds on the monotonic clock.
        :returns: whether a send to it has just broken, and other routers were
            not asked, or had one too.
        """
        broken_at = self.last.get(server)
        if broken_at is None or now - broken_at >= RESTART_LISTED_S:
            return False
        return self._sound_at.get(server, -math.inf) < broken_at

    def must_ask(self, server: str, now: float) -> bool:
        """Tell whether other routers have to be asked about a server.

        :param server: incarnation name of the server.
        :param now: seconds on the monotonic clock.
        :returns: whether it may have been started again, and they have not
            answered since.
        """
        if not self.may_have_restarted(server, now):
            return False
        return self._asked_at.get(server, -math.inf) < self.last[server]

    def prune(self, now: float) -> None:
        """Forget what does not matter any more.

        :param now: seconds on the monotonic clock.
        """
        self.last = _keep_recent(self.last, now)
        self._asked_at = _keep_recent(self._asked_at, now)
        self._sound_at = _keep_recent(self._sound_at, now)


class BrokenSends:
    """Recent broken sends by server."""

    def __init__(self) -> None:
        """Start without any broken sends."""
        self._sends: dict[str, list[BrokenSend]] = {}
        #: Times of the broken sends, also of those whose cause is known.
        self.times = BreakTimes()
        #: Time of the last check that found a server up after a broken send,
        #: by incarnation name.
        self.up_at: dict[str, float] = {}
        #: Time of the last crash of a server with broken sends, by service.
        self.ended_at: dict[str, float] = {}
        #: Set while there are broken sends or recent crashes of their servers.
        self.pending = asyncio.Event()

    def record(self, broken: BrokenSend) -> None:
        """Record a send whose connection broke.

        :param broken: the send.
        """
        self._sends.setdefault(broken.server, []).append(broken)
        self.times.record(broken.server, broken.broken_at)
        self.pending.set()

    def record_server_crash(self, service: str, now: float) -> None:
        """Record the crash of a server with broken sends.

        :param service: service of the server.
        :param now: seconds on the monotonic clock.
        """
        self.ended_at[service] = now
        self.pending.set()

    def list_last_breaks(self) -> dict[str, float]:
        """List the servers with broken sends.

        :returns: time of the last broken send, by incarnation name.
        """
        return {
            server: sends[-1].broken_at for server, sends in self._sends.items()
        }

    def take_sends(self, server: str) -> list[BrokenSend]:
        """Remove and return the broken sends of a crashed server.

        :param server: incarnation name of the server.
        :returns: the sends.
        """
        return self._sends.pop(server, [])

    def prune(self, now: float) -> None:
        """Remove sends and crashes that have expired.

        :param now: seconds on the monotonic clock.
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
        self.up_at = _keep_recent(self.up_at, now)
        self.times.prune(now)
        if not (self._sends or self.ended_at or self.up_at or self.times.last):
            self.pending.clear()

    def list_runs(self, request: str) -> list[CrashedRun]:
        """List runs of a request whose connection broke just after the start.

        :param request: digest of the request.
        :returns: the runs, as if their servers had crashed; without those whose
            server answered since.
        """
        return [
            CrashedRun(one.server, one.sent_at, one.broken_at)
            for sends in self._sends.values()
            for one in sends
            if one.request == request
            and one.had_just_started()
            and self.up_at.get(one.server, -math.inf) <= one.broken_at
        ]


def _keep_recent(times: dict[str, float], now: float) -> dict[str, float]:
    return {
        server: at
        for server, at in times.items()
        if now - at < BROKEN_SEND_RETENTION_S
    }
