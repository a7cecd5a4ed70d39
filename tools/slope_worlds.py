"""Large states of the product, for measuring slopes."""

from typing import Final

from dykemast._internal.blackboard import Fleet
from dykemast._internal.models.fleet import Instance, LoadReport, PeerCard
from dykemast._internal.models.journal import Entry, EntryKind
from dykemast._internal.models.revisions import (
    Configuration,
    ModelSpec,
    PolicySpec,
    Revision,
    ServiceSpec,
    WorkspaceSpec,
)
from dykemast._internal.operations import journal_merge, peers, worker_load
from dykemast._internal.operations.confirmed_lease import LeaseTerms
from dykemast._internal.operations.lease_registry import Identity, LeaseRegistry

_NOW: Final = 990
_HOLD: Final = 400


def make_book(count: int) -> LeaseRegistry:
    """Make the leases of a router that holds many budgets.

    :param count: how many budgets.
    :returns: the leases, each in use and due for renewal.
    """
    lease_registry = LeaseRegistry(Identity('instance-1', 'a' * 16))
    for number in range(count):
        holder = lease_registry.get_holder(
            f'workspace-{number}/main', LeaseTerms(), 1
        )
        holder.usage.add_hold(_HOLD, _NOW)
    return lease_registry


def make_revision(workspaces: int) -> Revision:
    """Make a configuration of many workspaces.

    :param workspaces: how many.
    :returns: a revision with it.
    """
    specs = [
        WorkspaceSpec(
            name=f'workspace-{number}',
            key_sha256='a' * 64,
            policy='counter',
            lease_horizon=900,
            concurrent=64,
        )
        for number in range(workspaces)
    ]
    models = [
        ModelSpec(name=f'model-{number}', service='llm', max_tokens=4096)
        for number in range(4)
    ]
    configuration = Configuration(
        services=[ServiceSpec(name='llm', kind='engine')],
        models=models,
        workspaces=specs,
        policies=[PolicySpec(name='counter', allow='request.bytes < 1000')],
    )
    return Revision(1, 'first', configuration)


def make_records(count: int) -> dict[str, journal_merge.KeyRecord]:
    """Make the index of a journal keeper.

    :param count: how many keys.
    :returns: the index.
    """
    records: dict[str, journal_merge.KeyRecord] = {}
    for entry in make_entries(count):
        journal_merge.add_entry(records, entry)
    return records


def make_entries(count: int) -> list[Entry]:
    """Make bills as a router writes them.

    :param count: how many.
    :returns: the bills.
    """
    return [
        Entry(
            key=f'workspace-{number % 1200}|{number:032x}',
            kind=EntryKind.finished,
            run=f'{number:032x}',
            budget=f'workspace-{number % 1200}/main',
            tokens=number,
            outcome='whole',
            at=1.5e9 + number,
        )
        for number in range(count)
    ]


def make_fleet(count: int) -> Fleet:
    """Make what a router knows of its peers.

    :param count: how many peers.
    :returns: the section of the blackboard.
    """
    fleet = Fleet()
    for number in range(count):
        card = PeerCard(
            f'instance-{number}',
            f'{number:016x}',
            f'hall-{number % 8}',
            f'10.0.{number % 250}.{number // 250}',
            7001,
            7002,
        )
        peers.record_card(fleet, card, 1, 1)
    return fleet


def make_candidates(count: int) -> list[worker_load.Candidate]:
    """Make workers to choose from.

    :param count: how many.
    :returns: the workers.
    """
    report = LoadReport(3, 1, ('tiny-1',), 1)
    return [
        worker_load.Candidate(
            Instance(f'w-{number}', 'llm', 'hall-1', '10.0.0.1', 1),
            number % 5,
            report,
        )
        for number in range(count)
    ]
