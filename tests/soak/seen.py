"""What callers and backend servers of a soak run saw."""

from typing import Any, NamedTuple

from tests.soak.history import Event

#: How a request ended for its caller: with a whole answer, one that broke
#: off, a connection closed without an answer, one that never came up, because
#: the caller left, or because its patience was over.
WHOLE = 'whole'
CUT = 'cut'
CLOSED = 'closed'
UNREACHED = 'unreached'
LEFT = 'left'
LATE = 'late'

Run = dict[str, Any]
Runs = dict[str, list[Run]]
#: Request and moment of all that arrived at a server, run or not.
Arrivals = dict[str, list[tuple[str, float]]]


class Seen(NamedTuple):
    """What a caller saw of one request.

    :param at: moment at which it was sent.
    :param router: where it was sent.
    :param path: its path.
    :param request_id: its id.
    :param status: of the answer; 0 for none.
    :param body: of the answer, as far as it came.
    :param ended: moment at which it ended for the caller.
    :param end: how it ended.
    :param time_left: seconds that the caller gave it.
    :param events: of a stream that is whole.
    :param after: last event that the caller had before.
    :param resumes: request that brought its first event; empty if this one did.
    :param workspace: whose key it had.
    """

    at: float
    router: str
    path: str
    request_id: str
    status: int
    body: bytes
    ended: float
    end: str
    time_left: float = 2.5
    events: int = 0
    after: int = 0
    resumes: str = ''
    workspace: str = 'joinville'


class Witness(NamedTuple):
    """What was seen in a run.

    :param seen: by callers.
    :param runs: by server.
    :param arrivals: by server.
    :param prepaid: most tokens that were ever paid for.
    :param left_at: moment since which a server is leaving.
    :param events: what was done to the world.
    :param calm_at: moment at which the last fault was over; 0 if that is not
        waited for.
    :param takers: routers that answered a new connection at the end.
    :param routers: all of them.
    :param judged_at: moment at which servers were asked.
    :param tunnels: routers through which a request was sent, by its id.
    :param sent: servers to which a request was sent, by its id.
    """

    seen: list[Seen]
    runs: Runs
    arrivals: Arrivals
    prepaid: int
    left_at: dict[str, float]
    events: list[Event]
    calm_at: float
    takers: set[str]
    routers: set[str]
    judged_at: float
    tunnels: dict[str, set[str]]
    sent: dict[str, set[str]]
