"""Timing of a planned stop: until when requests are admitted and may run."""

import math
from typing import Final, NamedTuple

from dykemast._internal.utils.clock import POLL_INTERVAL_S

#: Multiple of the TTL of entry responses for which a stopping router stays up
#: for callers that use them past their TTL: most keep one for twice the TTL,
#: some for three times. Later callers could only be refused, and staying for
#: them would delay the return of the instance.
LINGER_FACTOR: Final = 2
#: Time that an entry response takes to its caller, and the notice of the stop
#: to the routers that give such responses, also under load.
NOTICE_TIME_S: Final = 0.2
#: For the last return of tokens: one write to a slow store.
LAST_RETURN_TIME_S: Final = 0.3
#: For listeners to close the connections of callers: they poll whether to
#: close, and wait for responses being sent.
CLOSE_TIME_S: Final = 0.25
#: From the last log line to the exit of the process on a busy machine.
EXIT_TIME_S: Final = 0.2
#: How long before the kill requests in progress are cancelled: the sum of all
#: steps that follow.
END_TIME_S: Final = (
    POLL_INTERVAL_S + LAST_RETURN_TIME_S + CLOSE_TIME_S + EXIT_TIME_S
)
#: How long before that unused tokens are returned while long requests still
#: run: two tries with a slow store.
RETURN_TIME_S: Final = 0.7
#: Multiple of the longest recent duration that has to be left for a request:
#: the next one may take longer, as servers get busier.
MARGIN_FACTOR: Final = 1.5


class StopPlan(NamedTuple):
    """Times of a planned stop, in seconds of ``read_clock``.

    :param advertised_until: until when callers may hold a valid entry
        response that names this router.
    :param linger_until: earliest exit, even when no request is in progress.
    :param return_tokens_at: latest time to begin to return unused tokens.
    :param ends_by: time by which requests have to end; those still in progress
        are cancelled then, since the process may be killed soon after.
    :param closed: whether no request is admitted any more.
    """

    advertised_until: float
    linger_until: float
    return_tokens_at: float
    ends_by: float
    closed: bool = False

    def may_admit(self, now: float, deadline: float, usual: float) -> bool:
        """Tell whether a request may still be admitted.

        While callers may hold a valid entry response, a request is admitted if
        it would end in time by its typical duration; later, only if its own
        deadline is in time. Its caller can use another router, while a stream
        that is truncated is lost.

        :param now: time in seconds of ``read_clock``.
        :param deadline: time by which the request has to end.
        :param usual: seconds that requests of its route take.
        :returns: whether it may.
        """
        if self.closed:
            return False
        if deadline <= self.ends_by:
            return True
        return now < self.advertised_until and self.can_end(
            now, deadline, usual
        )

    def can_end(self, now: float, deadline: float, usual: float) -> bool:
        """Tell whether a request that is sent now would end in time.

        :param now: time in seconds of ``read_clock``.
        :param deadline: time by which the request has to end.
        :param usual: seconds that requests of its route take.
        :returns: whether it would.
        """
        return min(deadline, now + MARGIN_FACTOR * usual) <= self.ends_by

    def describe(
        self, now: float, deadline: float, usual: float
    ) -> dict[str, float | None]:
        """Describe what admission rests on, as log fields.

        :param now: time in seconds of ``read_clock``.
        :param deadline: time by which the request has to end.
        :param usual: seconds that requests of its route take.
        :returns: seconds that are left for the request, that such requests
            take, None where that is not known, and that are left of the stop.
        """
        return {
            'left_s': round(deadline - now, 3),
            'usual_s': None if math.isinf(usual) else round(usual, 3),
            'router_left_s': round(self.ends_by - now, 3),
        }

    def close(self) -> 'StopPlan':
        """Close admission, so that the number of requests can only fall.

        :returns: the plan with admission closed.
        """
        return self._replace(closed=True)


def plan_stop(
    now: float,
    since: float,
    entry_ttl: float,
    stop_timeout: float,
) -> StopPlan:
    """Plan a stop that begins now.

    :param now: time in seconds of ``read_clock``.
    :param since: earliest time at which the stop may have been requested.
    :param entry_ttl: TTL of entry responses in seconds.
    :param stop_timeout: seconds from the request until the process is killed.
    :returns: the times of the stop.
    """
    # Counted from when the stop may have been requested: a router that ends
    # too early refuses or cancels, and one that is killed does not respond.
    ends_by = since + max(0, stop_timeout - END_TIME_S)
    return StopPlan(
        advertised_until=min(now + entry_ttl + NOTICE_TIME_S, ends_by),
        linger_until=min(now + entry_ttl * LINGER_FACTOR, ends_by),
        return_tokens_at=max(now, ends_by - RETURN_TIME_S),
        ends_by=ends_by,
    )
