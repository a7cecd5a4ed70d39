"""Components that serve requests share."""

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
    """Shared components of the router.

    :param board: shared state.
    :param leases: leases of budgets.
    :param lending: loans of tokens between routers.
    :param bills: writer of bills.
    :param backends: sessions with backend servers.
    :param breakers: circuit breakers of backend servers.
    :param turns: queues of requests with an order key.
    :param gates: slots of services, by service name.
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

    :param refusal: the refusal that the caller gets.
    """

    def __init__(self, refusal: Refusal) -> None:
        """Make the error from the refusal."""
        super().__init__(refusal.text)
        self.refusal = refusal
