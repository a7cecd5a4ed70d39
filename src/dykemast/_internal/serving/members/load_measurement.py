"""How much comes to this router, against what its instance carries."""

from typing import Final

from dykemast._internal.models.gossip import RouterLoad
from dykemast._internal.serving.state.board import ServingBoard, list_live_peers
from dykemast._internal.utils.clock import read_clock

#: Seconds of a common core that a request takes, its events included.
REQUEST_WORK: Final = 0.007
#: Bytes that a request takes on the link each way: prompt and answer, header
#: fields and the frames of events.
REQUEST_BYTES: Final = 8000
#: Part of the processor or link that requests may take before they wait for
#: each other: they come in bursts of three times the mean.
BUSY_SHARE: Final = 0.4
#: Times what it carries that an overloaded router tells to get at least.
OVERLOAD_FACTOR: Final = 1.5


def measure_router_load(board: ServingBoard) -> RouterLoad:
    """Measure what comes to this router.

    :param board: the blackboard.
    :returns: its strain.
    """
    given = board.settings.capacity
    most = min(given.cores / REQUEST_WORK, given.link / REQUEST_BYTES)
    now = read_clock()
    carried = BUSY_SHARE * most
    rate = board.arrivals.compute_rate(now)
    if board.watch.is_overloaded(now):
        # What waits unread is not counted yet, and the estimate of what a
        # request takes is too low for what comes.
        rate = max(rate, OVERLOAD_FACTOR * carried)
    return RouterLoad(round(carried, 1), round(rate, 1))


def has_peer_with_capacity(board: ServingBoard) -> bool:
    """Tell whether another router that is heard gets no more than it carries.

    :param board: the blackboard.
    :returns: whether there is one.
    """
    return any(
        not peer.router_load.exceeds_capacity()
        for peer in list_live_peers(board)
    )


def should_close_connections(board: ServingBoard) -> bool:
    """Tell whether callers should leave the connections they have here.

    They choose an address when they open a connection, and those that send
    many requests over one would stay although others carry more. If all get
    too much, closing would only add work.

    :param board: the blackboard.
    :returns: whether they should.
    """
    if board.stopping:
        return True
    if not measure_router_load(board).exceeds_capacity():
        return False
    return has_peer_with_capacity(board)
