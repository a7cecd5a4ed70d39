"""Values that policies are evaluated with."""

from collections import Counter
from typing import Any

from dykemast._internal.path.parts import Parts


def view_all(
    parts: Parts,
    workspace: str,
    request: dict[str, Any],
) -> dict[str, Any]:
    """Make all values for a policy.

    :param parts: shared components of the router.
    :param workspace: name of the caller's workspace.
    :param request: the value of ``request``.
    :returns: values of ``request``, ``budget`` and ``fleet``.
    """
    return {
        'request': request,
        'budget': view_budgets(parts, workspace),
        'fleet': view_fleet(parts),
    }


def view_budgets(parts: Parts, workspace: str) -> dict[str, Any]:
    """Make the value of ``budget`` from the leases of this router.

    :param parts: shared components of the router.
    :param workspace: its name.
    :returns: unspent and paid tokens by budget, as last confirmed.
    """
    known: dict[str, Any] = {}
    prefix = f'{workspace}/'
    for name, holder in parts.leases.lease_registry.holders.items():
        ack = holder.lease.ack
        if ack and name.startswith(prefix):
            known[name.removeprefix(prefix)] = {
                'unspent': ack.unspent,
                'paid': ack.paid,
            }
    return known


def view_fleet(parts: Parts) -> dict[str, Any]:
    """Make the value of ``fleet``: how many servers have each model.

    :param parts: shared components of the router.
    :returns: counts by model, of servers that do not leave.
    """
    counts: Counter[str] = Counter()
    for name, report in parts.board.loads.reports.items():
        if name not in parts.board.fleet.leaving:
            counts.update(report.models)
    return {'workers': dict(counts)}
