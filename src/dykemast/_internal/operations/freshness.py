"""What may be decided by knowledge of a certain age.

What a router knows of the store is kept fresh by loops that run beside
requests. They are late when the loop or a connection is, so each decision asks
for the age itself: with loops alone a change was known 3.2 s after it was
confirmed where 2 s are promised, and 1.3 to 3.7 s at a router that was starved.
"""

from typing import Final, NamedTuple

#: Seconds without an answer from which on a read counts as late, and is made
#: once more: the slowest store that users have seen takes 0.24 s, and a read
#: that is due after 1.4 s has to end within 2.
LATE_READ_S: Final = 0.3
#: Turns of the event loop that one call takes over a new connection, the longer
#: way: a loop that is late at each of them makes a read late by itself.
LOOP_TURNS_PER_CALL: Final = 11


class Freshness(NamedTuple):
    """What a router knows of one kind of objects, at one moment.

    :param age: seconds since it was known to be current.
    :param promised: seconds after which a change has to be in force.
    :param outdated: whether a peer has told of something newer.
    :param store_away: whether the store does not answer this router.
    """

    age: float
    promised: float
    outdated: bool
    store_away: bool

    def is_within_bound(self) -> bool:
        """Tell whether no change that has to be in force can be missing.

        :returns: whether none can.
        """
        return self.age <= self.promised

    def may_refuse_permanently(self) -> bool:
        """Tell whether what it does not hold is known not to exist.

        :returns: whether it is.
        """
        return self.is_within_bound() and not self.outdated

    def may_serve(self) -> bool:
        """Tell whether requests may be served by it.

        While the store is away, what was last known stays in force.

        :returns: whether they may.
        """
        return self.is_within_bound() or self.store_away


def is_read_late(waited: float, lateness: float) -> bool:
    """Tell whether a read waits for the store, and not for this router.

    :param waited: seconds since it began.
    :param lateness: of the event loop, in seconds.
    :returns: whether the store is late.
    """
    return waited > LATE_READ_S + LOOP_TURNS_PER_CALL * lateness
