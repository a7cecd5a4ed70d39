"""Parts of the program that the way of a request needs."""

from typing import NamedTuple

from dykemast._internal.models.caller_request import CallerRequest
from dykemast._internal.models.routing_table import Route, Service, Workspace
from dykemast._internal.operations.retry_allowance import RetryAllowance
from dykemast._internal.operations.server_trust import ServerTrust
from dykemast._internal.serving.board import ServingBoard
from dykemast._internal.serving.budgets import Budgets
from dykemast._internal.serving.loads import Loads
from dykemast._internal.serving.meters import Meters
from dykemast._internal.serving.upstream import Upstreams


class Parts(NamedTuple):
    """Parts of the program.

    :param board: the blackboard.
    :param budgets: holds tokens.
    :param loads: requests at backend servers.
    :param trust: how backend servers did.
    :param retries: allowance for second sends by service.
    :param upstreams: connections to backend servers.
    :param meters: counters and times.
    """

    board: ServingBoard
    budgets: Budgets
    loads: Loads
    trust: ServerTrust
    retries: dict[str, RetryAllowance]
    upstreams: Upstreams
    meters: Meters


class Ticket(NamedTuple):
    """A request that was let in.

    :param request: the request.
    :param route: its route.
    :param service: the service that runs it.
    :param workspace: who spends; None on a public route.
    :param started: seconds on the steady clock when it came.
    :param deadline: seconds on the steady clock by which it has to end.
    :param version: configuration that decided.
    """

    request: CallerRequest
    route: Route
    service: Service
    workspace: Workspace | None
    started: float
    deadline: float
    version: int
