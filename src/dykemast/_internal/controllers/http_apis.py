"""HTTP listeners of a router and what they serve."""

from dykemast._internal.controllers.assembly import Assembly
from dykemast._internal.network.admin_api import make_admin_app
from dykemast._internal.network.admin_parts import AdminParts
from dykemast._internal.network.caller_api import make_caller_app
from dykemast._internal.network.listeners import Listener, open_listener
from dykemast._internal.network.metrics import make_metrics, render_metrics


async def open_listeners(assembly: Assembly) -> list[Listener]:
    """Listen for callers and operators.

    :param assembly: parts of the router.
    :returns: the listeners.
    """
    parts = assembly.parts
    settings = parts.board.settings
    metrics = make_metrics()

    def render() -> bytes:
        return render_metrics(metrics, parts.board, len(parts.bills.kept))

    callers = make_caller_app(parts, metrics)
    operators = make_admin_app(
        AdminParts(
            parts.board,
            assembly.sessions.platform,
            assembly.store,
            assembly.keepers,
            render,
        )
    )
    # Callers come last: who reaches their address reaches all others.
    return [
        await open_listener(
            operators, settings['host'], settings['admin_port']
        ),
        await open_listener(callers, settings['host'], settings['caller_port']),
    ]
