"""One send of a request to a backend server."""

from typing import Any

from dykemast._internal.exceptions import UpstreamError
from dykemast._internal.models.backend import BackendServer
from dykemast._internal.operations.broken_sends import SUSPECT_WINDOW_S
from dykemast._internal.operations.request_identity import RequestIdentity
from dykemast._internal.serving.choice.choices import count_uncached
from dykemast._internal.serving.parts import Parts
from dykemast._internal.serving.requests.admitted_request import AdmittedRequest
from dykemast._internal.serving.state.loads import compute_load
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('route')


class Send:
    """A send of a request, possibly in progress.

    :param server: the server that receives the request.
    :param sent_at: seconds on the monotonic clock.
    :param identity: digest of the request.
    :param avoids_link: whether the previous connection of the request broke,
        so that the link may be broken.
    """

    def __init__(
        self,
        server: BackendServer,
        sent_at: float,
        identity: RequestIdentity,
        *,
        avoids_link: bool = False,
    ) -> None:
        """Create a send without events."""
        self.avoids_link = avoids_link
        self.server = server
        self.sent_at = sent_at
        self.identity = identity
        #: Time of the first event.
        self.event_at: float | None = None
        #: Whether events have been arriving for a while.
        self.is_healthy = False

    def record_event(self, now: float) -> bool:
        """Record the arrival of an event.

        :param now: seconds on the monotonic clock.
        :returns: whether this event is the first to show that the request does
            not crash a server that starts to run it.
        """
        if self.event_at is None:
            self.event_at = now
        is_first = (
            not self.is_healthy and now - self.event_at > SUSPECT_WINDOW_S
        )
        self.is_healthy = self.is_healthy or is_first
        return is_first

    def describe_break(self, error: UpstreamError) -> dict[str, Any]:
        """Describe the evidence that the request crashed its server.

        :param error: the error of the send.
        :returns: log fields; empty unless the connection broke.
        """
        if not error.broken:
            return {}
        now = read_clock()
        event_at = self.event_at
        return {
            'same_as': self.identity.compute_digest(),
            'sent_s': round(now - self.sent_at, 3),
            'events_s': None if event_at is None else round(now - event_at, 3),
        }


def log_send(
    parts: Parts, admitted: AdmittedRequest, send: Send, nth: int
) -> None:
    """Log a send and the state that led to the choice of the server.

    :param parts: shared components of the process.
    :param admitted: the request.
    :param send: the send.
    :param nth: number of this send of the request, from 1.
    """
    server = send.server.name
    load = compute_load(parts.loads, server, send.sent_at)
    pause_risk = parts.loads.pauses.estimate_risk(server, send.sent_at)
    _log(
        'send',
        request=admitted.request.request_id,
        service=admitted.service.name,
        server=server,
        version=send.server.version,
        nth=nth,
        running=load.running,
        unread=load.unread,
        missing=count_uncached(parts, admitted, server),
        pause_risk=round(pause_risk, 2),
        trust=round(parts.trust.get_score(server, send.sent_at), 2),
    )


def record_resumption(
    parts: Parts, admitted: AdmittedRequest, send: Send, after: str
) -> None:
    """Log and count a send that resumes a stream.

    :param parts: shared components of the process.
    :param admitted: the request.
    :param send: the send.
    :param after: last event that this router passed on; empty when the caller
        resumes the stream.
    """
    by = 'router' if after else 'caller'
    parts.metrics.resumed_streams.inc({'by': by})
    _log(
        'stream_resumed',
        request=admitted.request.request_id,
        by=by,
        after=after or admitted.request.last_event_id,
        server=send.server.name,
        version=send.server.version,
    )
