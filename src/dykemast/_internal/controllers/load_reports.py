"""Poll backend servers for their load, and store it in the shared state."""

import asyncio
from typing import Final

import logbook

from dykemast._internal.blackboard import Blackboard
from dykemast._internal.exceptions import UpstreamError
from dykemast._internal.models.fleet import Instance, LoadReport
from dykemast._internal.models.revisions import ServiceSpec
from dykemast._internal.network.backends import Backends

_log = logbook.Logger('load')

LOAD_INTERVAL_S: Final = 1.0
#: Backend servers polled in one round, whatever their number, those with the
#: oldest reports first. Older reports count less in the choice of a server.
MAX_ASKED: Final = 32


class LoadReader:
    """Poller of load reports.

    :param board: shared state of the router.
    :param backends: sessions with backend servers.
    """

    def __init__(self, board: Blackboard, backends: Backends) -> None:
        """Make a poller."""
        self._board = board
        self._backends = backends

    async def run(self) -> None:
        """Poll load reports until cancelled."""
        while True:
            servers = self._list_servers()
            due = choose_due(servers, self._board.loads.reports)
            await asyncio.gather(*(self._read(one) for one in due))
            names = {instance.name for instance in servers}
            reports = self._board.loads.reports
            for gone in set(reports) - names:
                reports.pop(gone)
            await asyncio.sleep(LOAD_INTERVAL_S)

    async def _read(self, instance: Instance) -> None:
        try:
            report = await self._backends.read_load(instance)
        except UpstreamError as error:
            _log.debug('load: no report from {}: {}', instance.name, error)
            return
        own = self._board.traffic.by_worker.get(instance.name, 0)
        self._board.loads.reports[instance.name] = report._replace(own=own)

    def _list_servers(self) -> list[Instance]:
        engines = {
            service['name']
            for service in self._list_services()
            if service['kind'] == 'engine'
        }
        return [
            instance
            for instance in self._board.fleet.instances
            if instance.role in engines
        ]

    def _list_services(self) -> list[ServiceSpec]:
        revision = self._board.rules.revision
        return revision.configuration['services'] if revision else []


def choose_due(
    servers: list[Instance],
    reports: dict[str, LoadReport],
) -> list[Instance]:
    """Choose the backend servers to poll in this round.

    :param servers: all backend servers.
    :param reports: their last reports.
    :returns: those whose report is oldest, or missing.
    """
    return sorted(
        servers, key=lambda one: reports.get(one.name, LoadReport()).at
    )[:MAX_ASKED]
