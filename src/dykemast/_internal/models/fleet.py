"""Instances of the platform's list, and their reports."""

import enum
from typing import NamedTuple


class InstanceState(enum.StrEnum):
    """State of an instance in the platform's list."""

    live = 'live'
    leaving = 'leaving'


class Instance(NamedTuple):
    """One entry of the platform's list, which may be out of date.

    :param name: the platform's id; never reused for another instance.
    :param role: ``router``, or the service of the backend server.
    :param hall: its hall.
    :param host: IP address.
    :param port: port for callers, or of the backend server.
    :param state: live or leaving.
    """

    name: str
    role: str
    hall: str
    host: str
    port: int
    state: InstanceState = InstanceState.live


class PeerCard(NamedTuple):
    """Description of a router that it sends to its peers.

    :param instance: its instance id.
    :param incarnation: random id, new at each start of the process.
    :param hall: its hall.
    :param host: IP address.
    :param caller_port: port for callers.
    :param peer_port: port for other routers.
    :param revision: revision of the configuration that it has in force.
    :param inflight: requests in progress.
    :param leaving: whether it is stopping.
    """

    instance: str
    incarnation: str
    hall: str
    host: str
    caller_port: int
    peer_port: int
    revision: int = 0
    inflight: int = 0
    leaving: bool = False


class LoadReport(NamedTuple):
    """Load of a worker; the report may be out of date.

    :param running: requests in progress.
    :param waiting: requests in its queue.
    :param models: names of the models it has loaded.
    :param at: seconds on this router's clock at which it was read.
    :param own: requests of this router among them, at that time.
    """

    running: int = 0
    waiting: int = 0
    models: tuple[str, ...] = ()
    at: float = 0
    own: int = 0


class LoanRequest(NamedTuple):
    """Request for tokens of one budget.

    :param workspace: workspace of the budget.
    :param missing: number of tokens that requests wait for.
    :param spare: number of spare tokens requested beyond these.
    :param borrower: instance of the router that requests them.
    :param incarnation: its incarnation.
    :param lender: incarnation that it takes the lender for.
    :param received: tokens that it has received from that incarnation.
    :param as_owner: whether it takes the lender for the budget's owner.
    """

    workspace: str
    missing: int
    spare: int
    borrower: str
    incarnation: str
    lender: str
    received: int
    as_owner: bool


class LoanAnswer(NamedTuple):
    """Answer to a request for tokens.

    :param lender: incarnation of the lender.
    :param total: all tokens that it has lent to the borrower's incarnation,
        in this answer and before.
    :param store_away: whether its last call to the store failed.
    """

    lender: str
    total: int
    store_away: bool
