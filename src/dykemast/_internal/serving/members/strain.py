"""How much comes to this router, against what its instance carries."""

import time
from typing import Final

from dykemast._internal.models.news import Strain
from dykemast._internal.serving.state.board import ServingBoard, list_heard

#: Seconds of a common core that a request takes, its events included: two
#: measured days (303.9 s for 5,220 router seconds and 11,746 requests; 31.0 s
#: for 336 and 2,391) give 7 ms if idle routers take the same in both.
REQUEST_WORK: Final = 0.007
#: Bytes that a request takes on the link each way: 4.9 KB of prompts and
#: answers in the mix of the users, and 3 KB by estimate for header fields and
#: the frames of events.
REQUEST_BYTES: Final = 8000
#: Part of the processor or link that requests may take before they wait for
#: each other: they come in bursts of three times the mean.
BUSY_SHARE: Final = 0.4


def measure_strain(board: ServingBoard) -> Strain:
    """Measure what comes to this router.

    :param board: the blackboard.
    :returns: its strain.
    """
    given = board.settings.capacity
    most = min(given.cores / REQUEST_WORK, given.link / REQUEST_BYTES)
    rate = board.arrivals.measure(time.monotonic())
    return Strain(round(BUSY_SHARE * most, 1), round(rate, 1))


def sheds_callers(board: ServingBoard) -> bool:
    """Tell whether callers should leave the connections they have here.

    They choose an address when they open a connection, and those that send
    many requests over one would stay although others carry more. If all get
    too much, closing would only add work.

    :param board: the blackboard.
    :returns: whether they should.
    """
    if board.stopping:
        return True
    if not measure_strain(board).is_exceeded():
        return False
    return not all(peer.strain.is_exceeded() for peer in list_heard(board))
