"""What a small fleet consists of, and its configuration."""

from typing import Any, Final, NamedTuple

from tools.ports import find_ports

#: Address that everything listens on.
HOST: Final = '127.0.0.1'
#: Ports of one router.
ROUTER_PORTS: Final = 3
#: Halls over which the fleet is spread.
HALLS: Final = ('north', 'south')


class Member(NamedTuple):
    """One process of the fleet.

    :param name: instance id.
    :param role: role in the platform's list.
    :param hall: where it stands.
    :param port: port in the platform's list.
    :param caller_port: for routers.
    :param admin_port: for routers.
    """

    name: str
    role: str
    hall: str
    port: int
    caller_port: int = 0
    admin_port: int = 0


class Layout(NamedTuple):
    """All processes of the fleet.

    :param platform_port: port of the platform.
    :param routers: the routers.
    :param engines: model engines.
    :param plains: servers of the plain service.
    """

    platform_port: int
    routers: list[Member]
    engines: list[Member]
    plains: list[Member]


def plan_layout(routers: int, engines: int, plains: int = 1) -> Layout:
    """Plan a fleet on free ports.

    :param routers: how many.
    :param engines: how many.
    :param plains: how many.
    :returns: the layout.
    """
    count = 1 + ROUTER_PORTS * routers + engines + plains
    ports = iter(find_ports(count))
    return Layout(
        next(ports),
        [_plan_router(ports, number) for number in range(routers)],
        _plan_workers(ports, 'llm', engines),
        _plan_workers(ports, 'orders', plains),
    )


def _plan_router(ports: Any, number: int) -> Member:
    hall = HALLS[number % 2]
    return Member(
        f'router-{number}',
        'router',
        hall,
        next(ports),
        next(ports),
        next(ports),
    )


def _plan_workers(ports: Any, role: str, count: int) -> list[Member]:
    return [
        Member(f'{role}-{number}', role, HALLS[number % 2], next(ports))
        for number in range(count)
    ]


def list_instances(layout: Layout) -> list[list[Any]]:
    """Make the platform's list of a fleet.

    :param layout: the fleet.
    :returns: the list as the platform's stand-in takes it.
    """
    members = [*layout.routers, *layout.engines, *layout.plains]
    return [
        [one.name, one.role, one.hall, HOST, one.port, 'live']
        for one in members
    ]
