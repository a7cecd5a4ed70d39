"""Start and stop a small fleet of processes on loopback."""

import json
from typing import Any, Final

import yaml

from tools.calls import START_TIMEOUT, call, wait_for
from tools.files import (
    OPERATOR_KEY,
    WORKSPACES,
    make_configuration,
    make_settings,
)
from tools.layout import HOST, Layout, Member, list_instances
from tools.polling import poll_until
from tools.processes import Processes

#: Tokens that each workspace's budget gets at first.
FIRST_TOKENS: Final = 200000


class Fleet(Processes):
    """Processes of a fleet.

    :param layout: what it consists of.
    :param settings: of the routers, in place of the usual ones.
    """

    def __init__(self, layout: Layout, **settings: Any) -> None:
        """Start nothing yet."""
        super().__init__()
        self.layout = layout
        self.logs = self.folder
        self._settings = settings

    def start(self) -> None:
        """Start all processes, submit a configuration and top up."""
        self.start_platform()
        self.start_workers()
        for router in self.layout.routers:
            self.start_router(router)
        for listening in self.layout.routers:
            wait_for(f'http://{HOST}:{listening.caller_port}/health/live')
        prepare(self)

    def start_workers(self) -> None:
        """Start the engines and the servers of the plain service."""
        for engine in self.layout.engines:
            port = str(engine.port)
            self.run(engine.name, 'tests.lib.engine', '--port', port)
        for plain in self.layout.plains:
            port = str(plain.port)
            self.run(plain.name, 'tests.lib.plain', '--port', port)

    def start_platform(self) -> None:
        """Start the platform's stand-in."""
        port = self.layout.platform_port
        listed = json.dumps(list_instances(self.layout))
        self.run(
            'platform',
            'tests.lib.platform',
            '--port',
            str(port),
            '--instances',
            listed,
        )
        wait_for(f'http://{HOST}:{port}/instances')

    def start_router(self, router: Member) -> None:
        """Start a router.

        :param router: which one.
        """
        path = self.logs / f'{router.name}.yaml'
        settings = {**make_settings(self.layout, router), **self._settings}
        path.write_text(yaml.safe_dump(settings))
        self.run(router.name, 'dykemast', 'router', '--settings', str(path))


def prepare(fleet: Fleet) -> None:
    """Submit a configuration, top up, and wait until all is in force.

    :param fleet: a fleet that runs.
    """
    fields = {
        'text': yaml.safe_dump(make_configuration()),
        'path': 'configuration.yaml',
        'base': 0,
        'submission': 'first',
    }
    call_admin(fleet, '/admin/configuration', fields)
    for router in fleet.layout.routers:
        wait_for(f'http://{HOST}:{router.caller_port}/health/ready')
    for name in WORKSPACES:
        top_up(fleet, f'{name}/main', FIRST_TOKENS)
    for number, _ in enumerate(fleet.layout.routers):
        wait_for_workers(fleet, number)


def top_up(fleet: Fleet, budget: str, tokens: int, topup: str = '1') -> None:
    """Top up a budget.

    :param fleet: a fleet that runs.
    :param budget: its name.
    :param tokens: how many.
    :param topup: id of the top-up.
    """
    fields = {'budget': budget, 'tokens': tokens, 'topup': topup}
    call_admin(fleet, '/admin/topups', fields)


def call_admin(
    fleet: Fleet, path: str, fields: Any = None, router: int = 0
) -> Any:
    """Call the administration API.

    :param fleet: a fleet that runs.
    :param path: path and query.
    :param fields: JSON to post, if any.
    :param router: number of the router to call.
    :returns: the decoded answer.
    """
    port = fleet.layout.routers[router].admin_port
    return call(f'http://{HOST}:{port}{path}', fields, OPERATOR_KEY)


def control(port: int, **faults: Any) -> Any:
    """Set faults of a stand-in.

    :param port: its port.
    :param faults: what to set.
    :returns: its counts and faults.
    """
    return call(f'http://{HOST}:{port}/control', faults)


def wait_for_workers(fleet: Fleet, router: int) -> None:
    """Wait until a router has load reports of every engine.

    :param fleet: a fleet that runs.
    :param router: number of the router.
    :raises TimeoutError: when it does not get them.
    """

    def has_reports() -> bool:
        workers = call_admin(fleet, '/admin/fleet', None, router)['workers']
        loads = [one['load'] for one in workers if one['load']]
        return len(loads) >= len(fleet.layout.engines)

    if not poll_until(has_reports, START_TIMEOUT):
        raise TimeoutError('a router has no load reports.')
