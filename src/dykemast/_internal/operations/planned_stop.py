"""When a router that is being stopped lets requests in, and when it ends."""

from typing import Final, NamedTuple

from dykemast._internal.utils.waiting import POLL_TIME

#: Times the life of an entry answer for which a stopping router stays to
#: answer callers that overstay it: most keep it once as long, some three
#: times. Later ones could only be refused, and staying for them would keep the
#: instance away for longer.
STAY_FACTOR: Final = 2
#: Seconds that an entry answer takes to its caller, and the news of the stop
#: to the routers that give such answers, also under load.
NEWS_TIME: Final = 0.2
#: Seconds for the last return of tokens: a write takes 4 ms, 0.3 s when the
#: store is slow.
LAST_GIVE_BACK_TIME: Final = 0.3
#: Seconds that listeners take to close the connections of callers: they look
#: each 0.1 s whether to, and wait 0.1 s for answers on their way.
CLOSE_TIME: Final = 0.25
#: Seconds from the last line to the end of the process on a busy machine.
EXIT_TIME: Final = 0.2
#: Seconds before the kill at which a request that is still in progress is cut
#: off: all that has to be done after it.
END_TIME: Final = POLL_TIME + LAST_GIVE_BACK_TIME + CLOSE_TIME + EXIT_TIME
#: Seconds before that at which unused tokens go back while requests that take
#: long still run: two tries with a store that is slow.
GIVE_BACK_TIME: Final = 0.7


class StopPlan(NamedTuple):
    """Moments of a planned stop, in seconds on the steady clock.

    :param advertised_until: until when a caller may hold a valid entry answer
        that names this router.
    :param linger_until: until when the router stays though it has nothing to
        do.
    :param give_back_at: when it gives unused tokens back at the latest.
    :param ends_by: when requests that are let in have to end: the process may
        be killed soon after.
    :param cancel_at: when it cuts off what is still in progress.
    :param closed: whether nothing is let in any more.
    """

    advertised_until: float
    linger_until: float
    give_back_at: float
    ends_by: float
    cancel_at: float
    closed: bool = False

    def may_admit(self, now: float, deadline: float, usual: float) -> bool:
        """Tell whether a request may still be let in.

        Whoever holds a valid entry answer is served if others of its kind
        would end in time; later on, only what ends in time by its own
        deadline. Its caller has another router to go to, while a stream that
        is cut off midway is lost.

        :param now: seconds on the steady clock.
        :param deadline: seconds by which the request has to end.
        :param usual: seconds that requests like it take.
        :returns: whether it may.
        """
        if self.closed:
            return False
        if deadline <= self.ends_by:
            return True
        return now < self.advertised_until and now + usual <= self.ends_by

    def close(self) -> 'StopPlan':
        """Let nothing in from now on, so that the end can be waited for.

        :returns: the plan from now on.
        """
        return self._replace(closed=True)


def plan_stop(
    now: float,
    since: float,
    entry_ttl: float,
    stop_timeout: float,
) -> StopPlan:
    """Plan a stop that begins now.

    :param now: seconds on the steady clock.
    :param since: seconds at which it may have been ordered at the earliest.
    :param entry_ttl: seconds for which callers may keep an entry answer.
    :param stop_timeout: seconds from the order until the process is killed.
    :returns: its moments.
    """
    left = max(0, stop_timeout - END_TIME)
    ends_by = since + left
    return StopPlan(
        advertised_until=min(now + entry_ttl + NEWS_TIME, ends_by),
        linger_until=min(now + entry_ttl * STAY_FACTOR, ends_by),
        give_back_at=max(now, ends_by - GIVE_BACK_TIME),
        ends_by=ends_by,
        cancel_at=now + left,
    )
