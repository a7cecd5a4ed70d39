"""What the way of a request needs of the rest of the router."""

import random
from typing import NamedTuple

from dykemast._internal.blackboard import Blackboard
from dykemast._internal.controllers.bills import Bills
from dykemast._internal.controllers.leases import Leases
from dykemast._internal.controllers.lending import Lending
from dykemast._internal.exceptions import DykemastError
from dykemast._internal.models.requests import Refusal
from dykemast._internal.network.backends import Backends
from dykemast._internal.operations.circuit_breakers import CircuitBreakers
from dykemast._internal.path.gates import Gate
from dykemast._internal.path.turns import Turns


class Parts(NamedTuple):
    """Parts of the router that a request meets.

    :param board: the blackboard.
    :param leases: leased tokens.
    :param lending: tokens of other routers.
    :param bills: the journal.
    :param backends: sessions with backend servers.
    :param breakers: failures of backend servers.
    :param turns: queues of requests that run in order.
    :param gates: slots of the services, by their names.
    :param chance: source of randomness.
    """

    board: Blackboard
    leases: Leases
    lending: Lending
    bills: Bills
    backends: Backends
    breakers: CircuitBreakers
    turns: Turns
    gates: dict[str, Gate]
    chance: random.Random


class RefusedError(DykemastError):
    """A request is refused.

    :param refusal: what the caller is told.
    """

    def __init__(self, refusal: Refusal) -> None:
        """Keep the refusal."""
        super().__init__(refusal.text)
        self.refusal = refusal
