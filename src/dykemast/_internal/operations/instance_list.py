"""Evaluation of the platform's list of instances, which lags."""

from typing import Final

from dykemast._internal.blackboard import Fleet
from dykemast._internal.models.fleet import Instance, InstanceState
from dykemast._internal.operations.reclaim import KnownProcesses

#: Role that routers have in the platform's list.
ROUTER_ROLE: Final = 'router'


def record_listing(fleet: Fleet, listed: list[Instance], now: float) -> None:
    """Record the platform's list.

    An instance that is not listed any more has ended, since ids are never
    reused. One that was never listed may be new.

    :param fleet: section of the blackboard, changed in place.
    :param listed: the list.
    :param now: seconds at which the list was requested.
    """
    names = {instance.name for instance in listed}
    for before in fleet.instances:
        if before.name not in names:
            fleet.missing_since.setdefault(before.name, now)
    for name in names:
        fleet.missing_since.pop(name, None)
    fleet.leaving.update(
        instance.name
        for instance in listed
        if instance.state == InstanceState.leaving
    )
    fleet.leaving &= names
    fleet.instances = listed
    fleet.listed_at = now


def collect_census(fleet: Fleet, lag: float, now: float) -> KnownProcesses:
    """Collect the evidence that processes have ended.

    :param fleet: section of the blackboard.
    :param lag: seconds by which the platform's list lags at most.
    :param now: seconds.
    :returns: the evidence.
    """
    gone = frozenset(
        name
        for name, since in fleet.missing_since.items()
        if fleet.listed_at - since >= lag
    )
    return KnownProcesses(gone, dict(fleet.incarnations), now)
