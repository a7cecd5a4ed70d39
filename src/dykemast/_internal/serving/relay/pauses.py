"""Pauses between the events of a stream from one engine."""

from dykemast._internal.serving.parts import Parts
from dykemast._internal.serving.relay.crash_recording import record_healthy_run
from dykemast._internal.serving.relay.sends import Send
from dykemast._internal.serving.requests.admitted_request import AdmittedRequest
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('route')


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
