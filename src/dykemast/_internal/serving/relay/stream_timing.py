"""Timing of a stream at one engine: its prefill, and pauses between events."""

from dykemast._internal.models.backend import BackendServer
from dykemast._internal.serving.parts import Parts
from dykemast._internal.serving.relay.crash_recording import record_healthy_run
from dykemast._internal.serving.relay.sends import Send
from dykemast._internal.serving.requests.admitted_request import AdmittedRequest
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('route')


def record_prompt(
    parts: Parts, admitted: AdmittedRequest, server: BackendServer
) -> None:
    """Record a prompt that its engine has cached from now on.

    :param parts: shared components of the process.
    :param admitted: the request.
    :param server: the server of the engine.
    """
    engine = admitted.service.engine
    parts.loads.caches.record_sent(
        server.name,
        admitted.request.prompt,
        engine.cache_tokens if engine else 0,
        read_clock(),
    )


class Prefill:
    """The prefill of one prompt by an engine, which ends once.

    :param parts: shared components of the process.
    :param server: incarnation name of the server.
    :param uncached: tokens of the prompt that the engine has to prefill.
    """

    def __init__(self, parts: Parts, server: str, uncached: int) -> None:
        self._loads = parts.loads.own
        self._server = server
        self._uncached = uncached
        self._loads.begin(server, uncached)

    def end(self) -> None:
        """Record the end of the prefill; later calls do nothing."""
        self._loads.end_prefill(self._server, self._uncached)
        self._uncached = 0


class PauseMeter:
    """Measures the pauses of one stream from one engine.

    :param parts: shared components of the process.
    :param admitted: the request.
    :param send: the send to that engine.
    """

    def __init__(
        self,
        parts: Parts,
        admitted: AdmittedRequest,
        send: Send,
    ) -> None:
        """Create a meter that has seen no event."""
        self._board = parts.board
        self._pauses = parts.loads.pauses
        self._admitted = admitted
        self._send = send
        self._engine = send.server.name
        self._last = float()
        self._longest = float()

    def record_event(self) -> None:
        """Record the arrival of an event."""
        now = read_clock()
        if self._send.event_at is None:
            self._log_first(now)
        else:
            self._record_pause(now - self._last, now)
        if self._send.record_event(now):
            record_healthy_run(self._board, self._send)
        self._last = now

    def log_summary(self, events: int) -> None:
        """Log the timing of the stream, so that late streams can be explained.

        :param events: number of events delivered to the caller.
        """
        began = self._send.event_at or read_clock()
        _log(
            'stream_ended',
            request=self._admitted.request.request_id,
            server=self._engine,
            events=events,
            first_s=round(began - self._admitted.started, 3),
            longest_pause_s=round(self._longest, 3),
        )

    def _log_first(self, now: float) -> None:
        # From this event on, the caller has received tokens.
        _log(
            'first_event',
            request=self._admitted.request.request_id,
            server=self._engine,
            version=self._send.server.version,
            took_s=round(now - self._admitted.started, 3),
        )

    def _record_pause(self, pause: float, now: float) -> None:
        self._longest = max(self._longest, pause)
        objective = self._admitted.route.pause_objective
        self._pauses.record(self._engine, pause, objective, now)
