"""Look up what the configuration in force says of a request."""

from typing import Any, Final

from dykemast._internal.models.caller_request import CallerRequest
from dykemast._internal.models.routing_table import (
    Route,
    RoutingTable,
    Workspace,
)
from dykemast._internal.serving.admission.checks import (
    check_preconditions,
    refuse_for_now,
)
from dykemast._internal.serving.knowledge.cache_freshness import (
    get_configuration_freshness,
)
from dykemast._internal.serving.requests.refusals import (
    RefusalCode,
    RefusedError,
)
from dykemast._internal.serving.state.board import ServingBoard


#: Seconds after which a caller may come back when no configuration is known:
#: a router that starts reads it within a few tenths.
CONFIGURATION_RETRY: Final = 0.5


def find_table(board: ServingBoard) -> RoutingTable:
    """Find the configuration by which a request is decided.

    :param board: the blackboard.
    :returns: the configuration in force.
    :raises RefusedError: when this router may not decide now.
    """
    table = board.table
    if table is None:
        raise RefusedError(
            RefusalCode.no_configuration, retry_after=CONFIGURATION_RETRY
        )
    check_preconditions(board)
    return table


def find_route(
    board: ServingBoard,
    table: RoutingTable,
    request: CallerRequest,
) -> Route:
    """Find the route of a request.

    :param board: the blackboard.
    :param table: configuration in force.
    :param request: the request.
    :returns: its route.
    :raises RefusedError: when there is none.
    """
    route = table.find_route(request.host, request.path)
    if route is None:
        raise _refuse(board, RefusalCode.no_route, {'path': request.path})
    return route


def find_workspace(
    board: ServingBoard,
    table: RoutingTable,
    route: Route,
    request: CallerRequest,
) -> Workspace | None:
    """Find the workspace that a request is for.

    :param board: the blackboard.
    :param table: configuration in force.
    :param route: route of the request.
    :param request: the request.
    :returns: its workspace; None where none is asked for.
    :raises RefusedError: when its key belongs to none.
    """
    if route.public or not table.workspaces:
        return None
    workspace = table.find_workspace(request.key)
    if workspace is None:
        raise _refuse(board, RefusalCode.wrong_key, {})
    return workspace


def _refuse(
    board: ServingBoard,
    code: RefusalCode,
    details: dict[str, Any],
) -> RefusedError:
    """Refuse for good, or for now where a newer version may allow it."""
    known = get_configuration_freshness(board)
    if not known.may_refuse_permanently():
        return refuse_for_now(known, instead=code.name, **details)
    version = board.get_version()
    age = round(known.age, 3)
    return RefusedError(code, {'version': version, 'age_s': age, **details})
