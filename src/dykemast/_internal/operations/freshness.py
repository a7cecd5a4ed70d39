"""What may be decided with a local copy of store objects of a given age.

Background loops refresh the copy. They are late when the event loop or a
connection is, so each decision checks the age itself.
"""

from typing import Final, NamedTuple

#: Seconds without an answer after which a read is late and is retried, longer
#: than a slow store takes.
LATE_READ_S: Final = 0.3
#: Iterations of the event loop for one call over a new connection, which takes
#: more of them than an open one. The lateness of each adds to that of a read.
LOOP_TURNS_PER_CALL: Final = 11


class Freshness(NamedTuple):
    """Freshness of the local copy of one kind of objects.

    :param age: seconds since the copy was confirmed to be current.
    :param promised: seconds after which a change has to be in force.
    :param outdated: whether a peer has a newer version.
    :param store_away: whether the store does not answer this router.
    """

    age: float
    promised: float
    outdated: bool
    store_away: bool

    def is_within_bound(self) -> bool:
        """Tell whether the copy has each change that has to be in force.

        :returns: whether it has.
        """
        return self.age <= self.promised

    def may_refuse_permanently(self) -> bool:
        """Tell whether objects missing from the copy do not exist.

        :returns: whether the copy is reliable in that sense.
        """
        return self.is_within_bound() and not self.outdated

    def may_serve(self) -> bool:
        """Tell whether requests may be served by the copy.

        While the store is unavailable, the last copy stays in force.

        :returns: whether they may.
        """
        return self.is_within_bound() or self.store_away


def is_read_late(waited: float, lateness: float) -> bool:
    """Tell whether the store, and not this router, delays a read.

    :param waited: seconds since the read began.
    :param lateness: lateness of the event loop, in seconds.
    :returns: whether the store is late.
    """
    return waited > LATE_READ_S + LOOP_TURNS_PER_CALL * lateness
