"""State of one router about requests that crash servers.

A suspect is a request, named by its digest, or a part of prompts, named by its
key. Where a comment says request, both are meant.
"""

import math
from typing import Final, NamedTuple

from dykemast._internal.models.crashes import CrashRecord
from dykemast._internal.operations.broken_sends import RESTART_LISTED_S
from dykemast._internal.operations.crash_sequences import CrashedRun

#: Crashes and clearances expire after about the time that it takes to roll out
#: a fixed server.
CRASH_RETENTION_S: Final = 600.0
#: Time after a sound run in which no crash is attributed to a part of its
#: prompt: a part that crashes servers does so each time.
SOUND_PART_S: Final = 10.0
#: Parts whose last sound run is kept.
MAX_SOUND_PARTS: Final = 4096


class Crash:
    """The crash of one incarnation of a server.

    :param ended_at: seconds on the monotonic clock.
    :param service: service of the server; empty if unknown.
    """

    def __init__(self, ended_at: float, service: str = '') -> None:
        """Create a crash without suspects."""
        self.ended_at = ended_at
        self.service = service
        #: Number of other servers of the service at that time.
        self.others = 0
        #: Whether the server answered later, so that it had not crashed.
        self.refuted = False
        #: Whether the next process of the server was listed just after it.
        self.was_restarted = False
        #: Send times of the requests that had just started.
        self.sent_at: dict[str, float] = {}

    def is_refuted(self) -> bool:
        """Tell whether the server did not crash.

        :returns: whether it answered later, and was not started again.
        """
        return self.refuted and not self.was_restarted

    def end_time(self) -> float:
        """Return the time of the crash.

        :returns: seconds on the monotonic clock.
        """
        return self.ended_at


class QuarantineTerm(NamedTuple):
    """One quarantine of a request.

    :param decided_at: seconds on the monotonic clock.
    :param until: time from which the request may be tried again.
    :param terms: number of times the request has been quarantined.
    """

    decided_at: float
    until: float
    terms: int


class _SoundParts:
    """Parts of prompts that ran soundly at this router lately."""

    def __init__(self) -> None:
        """Know no part."""
        #: Times of the last sound runs by part, oldest first.
        self._sound_at: dict[str, float] = {}

    def record_sound_part(self, part: str, now: float) -> None:
        """Record that a request with a part ran soundly.

        :param part: name of the part.
        :param now: seconds on the monotonic clock.
        """
        self._sound_at.pop(part, None)
        self._sound_at[part] = now
        if len(self._sound_at) > MAX_SOUND_PARTS:
            self._sound_at.pop(next(iter(self._sound_at)))

    def was_sound(self, part: str, at: float) -> bool:
        """Check whether a part ran soundly shortly before a time, or later.

        :param part: name of the part.
        :param at: seconds on the monotonic clock.
        :returns: whether it did.
        """
        sound_at = self._sound_at.get(part, -math.inf)
        return sound_at >= at - SOUND_PART_S


class CrashTable(_SoundParts):
    """Crashed servers, suspect requests and quarantines.

    Routers merge their tables as unions of the crashed incarnations and their
    suspects. A crash counts once, however many routers report it, and all
    routers arrive at the same counts.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        super().__init__()
        #: Crashes by incarnation name of the server.
        self.crashes: dict[str, Crash] = {}
        #: Times at which requests were last cleared.
        self.cleared: dict[str, float] = {}
        #: Quarantines by request.
        self.quarantines: dict[str, QuarantineTerm] = {}
        #: Crash sequences by request; ``crash_review`` updates them.
        self.crash_sequences: dict[str, list[CrashedRun]] = {}
        #: Records that the store is known to hold, by request.
        self.stored_records: dict[str, CrashRecord] = {}
        #: Time of the last request to the store or a peer that returned the
        #: complete state.
        self.requested_at: float | None = None

    def record_restart(self, server: str, now: float) -> None:
        """Record that the next process of a server is listed.

        What answered in its name since a crash may have been that process.

        :param server: incarnation name of the server.
        :param now: seconds on the monotonic clock.
        """
        crash = self.crashes.get(server)
        if crash and now - crash.ended_at < RESTART_LISTED_S:
            crash.was_restarted = True

    def is_complete(self, since: float) -> bool:
        """Check whether the complete state was read since a given time.

        :param since: seconds; peers may have reported more from then on.
        :returns: whether it was.
        """
        return self.requested_at is not None and self.requested_at >= since

    def is_empty(self) -> bool:
        """Check whether there are no suspects and no quarantines.

        :returns: whether the table lists no requests.
        """
        return not self.crash_sequences and not self.quarantines

    def count_crashes(self, request: str) -> int:
        """Count the crashes in sequence under a request.

        :param request: digest of the request.
        :returns: number of crashes.
        """
        return len(self.crash_sequences.get(request, ()))

    def get_quarantine_left(self, request: str, now: float) -> float | None:
        """Return the time left of the quarantine of a request.

        :param request: digest of the request.
        :param now: seconds on the monotonic clock.
        :returns: seconds; 0 if it has expired and the next run decides; None if
            the request is not quarantined.
        """
        term = self.quarantines.get(request)
        return max(0, term.until - now) if term else None
