"""Request rate of this router, compared to its capacity."""

from typing import Final

from dykemast._internal.models.gossip import RouterLoad
from dykemast._internal.serving.state.board import ServingBoard, list_live_peers
from dykemast._internal.utils.clock import read_clock

#: Seconds of a common core that a request takes, with the events of its answer.
REQUEST_CORE_S: Final = 0.007
#: Bytes of a request on the link each way: prompt and answer, header fields
#: and the framing of events.
REQUEST_BYTES: Final = 8000
#: Fraction of the processor or link that requests may use before they queue:
#: they arrive in bursts of three times the mean rate.
USABLE_SHARE: Final = 0.4
#: Lowest rate that an overloaded router reports, as a multiple of its capacity.
OVERLOAD_FACTOR: Final = 1.5


def measure_router_load(board: ServingBoard) -> RouterLoad:
    """Measure the load of this router.

    :param board: the blackboard.
    :returns: its request rate and capacity.
    """
    resources = board.settings.capacity
    max_rate = min(
        resources.cores / REQUEST_CORE_S, resources.link / REQUEST_BYTES
    )
    now = read_clock()
    carried = USABLE_SHARE * max_rate
    rate = board.arrivals.compute_rate(now)
    if _is_overloaded(board, now):
        # Requests that are not read yet are not counted, and the estimated
        # work of a request is too low for the current ones.
        rate = max(rate, OVERLOAD_FACTOR * carried)
    return RouterLoad(round(carried, 1), round(rate, 1))


def _is_overloaded(board: ServingBoard, now: float) -> bool:
    # Without links to the servers, each request takes capacity of a peer.
    return (
        board.watch.is_overloaded(now)
        or bool(board.links.isolated_since)
        or board.admission_limit.has_refused(now)
    )


def has_peer_with_capacity(board: ServingBoard) -> bool:
    """Tell whether the load of another live router is within its capacity.

    :param board: the blackboard.
    :returns: whether there is such a router.
    """
    return any(
        not peer.router_load.exceeds_capacity()
        for peer in list_live_peers(board)
    )


def should_close_connections(board: ServingBoard) -> bool:
    """Tell whether to close the connections of callers.

    Callers choose a router when they open a connection, so those that send
    many requests over one would stay here although other routers have spare
    capacity. If all routers are overloaded, closing would only add work.

    :param board: the blackboard.
    :returns: whether to close them.
    """
    if board.stopping:
        return True
    if not measure_router_load(board).exceeds_capacity():
        return False
    return has_peer_with_capacity(board)
