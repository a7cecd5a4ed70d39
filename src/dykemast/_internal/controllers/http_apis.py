"""HTTP listeners of a router."""

from dykemast._internal.controllers.assembly import Assembly
from dykemast._internal.network.admin_api import make_admin_app
from dykemast._internal.network.admin_parts import AdminParts
from dykemast._internal.network.caller_api import make_caller_app
from dykemast._internal.network.listeners import Listener, open_listener
from dykemast._internal.network.metrics import make_metrics, render_metrics


async def open_listeners(assembly: Assembly) -> list[Listener]:
    """Open the listeners for callers and for operators.

    :param assembly: components of the router.
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
    # The caller port opens last: when it answers, the other ports are open.
    return [
        await open_listener(
            operators, settings['host'], settings['admin_port']
        ),
        await open_listener(callers, settings['host'], settings['caller_port']),
    ]
