"""Requests on simulated time against one way of sharing a budget."""

from collections.abc import Callable
from typing import Final, NamedTuple

#: Routers of both deployments.
ROUTERS: Final = 8
#: Seconds between two looks of a router at its leases.
TICK: Final = 0.5
#: Upper bound of what one request consumes, in tokens.
HOLD: Final = 400
#: What it consumes at least and at most.
USED: Final = (50, 250)
#: Seconds that it takes.
DURATION: Final = 2.0
#: Seconds of calm before a cut.
CALM: Final = 300.0
#: Seconds of the cut.
CUT: Final = 600.0


class Net(NamedTuple):
    """Who reaches whom.

    :param platform: whether routers reach the platform.
    :param groups: size of the groups in which routers reach each other.
    """

    platform: bool
    groups: int


class Sharing(NamedTuple):
    """One way of sharing a budget among routers.

    :param take: reserves tokens at a router; tells whether it could.
    :param settle: ends a request: router, held, used.
    :param tick: lets a router renew what it has.
    """

    take: Callable[[int, int, float], bool]
    settle: Callable[[int, int, int], None]
    tick: Callable[[int, float], None]


class World:
    """Clock, net and the one budget.

    :param paid: tokens of the budget.
    """

    def __init__(self, paid: int) -> None:
        """Start in calm with nothing consumed."""
        self.now = float(0)
        self.net = Net(platform=True, groups=ROUTERS)
        self.paid = paid
        self.writes = 0

    def reaches(self, one: int, other: int) -> bool:
        """Tell whether two routers reach each other.

        :param one: a router.
        :param other: another.
        :returns: whether they do.
        """
        return one // self.net.groups == other // self.net.groups


class Tally(NamedTuple):
    """What a run counted.

    :param asked: requests during the cut.
    :param possible: of these, how many the tokens sufficed for.
    :param refused: of the possible ones, how many were refused.
    :param overspent: tokens consumed beyond the paid ones.
    :param unused: tokens left at the end.
    """

    asked: int
    possible: int
    refused: int
    overspent: int
    unused: int


class Demand(NamedTuple):
    """Load of one run.

    :param rate: requests a second over all routers.
    :param skewed: whether some routers get many more than others.
    :param share: demand in the cut, as a share of the tokens left then.
    :param groups: size of the groups that remain in the cut.
    :param rush: times the rate in the second half of the cut.
    :param killed: routers that die a fifth into the cut.
    """

    rate: float
    skewed: bool
    share: float
    groups: int
    rush: float = 1
    killed: int = 0


def count_paid(demand: Demand) -> int:
    """Find the paid tokens for which the demand has its share.

    Half of the budget is left when the cut comes, or more if the calm does
    not consume as much.

    :param demand: the load.
    :returns: tokens.
    """
    mean = sum(USED) / 2
    surge = (1 + demand.rush) / 2
    left = demand.rate * surge * CUT * mean / demand.share
    return round(left + demand.rate * CALM * mean)
