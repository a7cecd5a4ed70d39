"""What one router knows of requests that end servers."""

from typing import Final, NamedTuple

from dykemast._internal.models.crashes import CrashRecord
from dykemast._internal.operations.crash_sequences import CrashedRun

#: Seconds for which the end of a server counts, and a run that cleared a
#: request: about what it takes to roll a mended server out.
CRASH_RETENTION_S: Final = 600.0


class Crash:
    """The end of one start of a server.

    :param ended_at: seconds on the steady clock.
    :param service: that it served; empty when that is not known.
    """

    def __init__(self, ended_at: float, service: str = '') -> None:
        """Know of no request there."""
        self.ended_at = ended_at
        self.service = service
        #: Servers of that service that were there besides.
        self.others = 0
        #: Whether it answered later on, so that it had not ended.
        self.refuted = False
        #: When the requests had been sent there that had just begun.
        self.sent_at: dict[str, float] = {}

    def read_end(self) -> float:
        """Read when the server ended.

        :returns: seconds on the steady clock.
        """
        return self.ended_at


class QuarantineTerm(NamedTuple):
    """A request that is not sent to servers.

    :param decided_at: seconds on the steady clock.
    :param until: when it may be tried again.
    :param terms: how often this was decided.
    """

    decided_at: float
    until: float
    terms: int


class CrashTable:
    """Servers that ended, requests under suspicion and in quarantine.

    Routers merge what they know by union: of the starts of servers that ended,
    and of the requests that had just begun there. So an end counts once,
    whoever tells of it and however often, and all come to the same counts.
    """

    def __init__(self) -> None:
        """Know of nothing."""
        #: By name of the server's start.
        self.crashes: dict[str, Crash] = {}
        #: When requests last ran to their end.
        self.cleared: dict[str, float] = {}
        #: Requests that are not sent.
        self.quarantines: dict[str, QuarantineTerm] = {}
        #: Runs of each request under which servers ended one after another;
        #: made by ``crash_review``.
        self.crash_sequences: dict[str, list[CrashedRun]] = {}
        #: What the store is known to hold of requests.
        self.kept: dict[str, CrashRecord] = {}
        #: When that was asked for that this router knows all of, from the
        #: store or from a peer.
        self.asked_at: float | None = None

    def is_complete(self, since: float) -> bool:
        """Tell whether all was asked for since a moment.

        :param since: seconds; from when on others may have told more.
        :returns: whether it was.
        """
        return self.asked_at is not None and self.asked_at >= since

    def is_empty(self) -> bool:
        """Tell whether nothing is known of any request.

        :returns: whether that is so.
        """
        return not self.crash_sequences and not self.quarantines

    def count_crashes(self, request: str) -> int:
        """Count the servers that ended under a request, one after another.

        :param request: its digest.
        :returns: how many.
        """
        return len(self.crash_sequences.get(request, ()))

    def get_quarantine_left(self, request: str, now: float) -> float | None:
        """Measure for how long a request is still in quarantine.

        :param request: its digest.
        :param now: seconds.
        :returns: seconds; 0 when it is over and the next run decides; None
            when there was none.
        """
        term = self.quarantines.get(request)
        return max(0, term.until - now) if term else None
