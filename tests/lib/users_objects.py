"""Store objects as the users' operators and servers write them."""

from types import MappingProxyType
from typing import Any

HOST = 'shop.example'
KEY = 'key-of-joinville'
#: Default hall of servers and routers.
HALL = 'joinville'
#: Default version of servers.
VERSION = 'v1'


def make_route(prefix: str, **fields: Any) -> dict[str, Any]:
    return {
        'name': f'r{prefix}',
        'host': HOST,
        'pathPrefix': prefix,
        'type': 'unsafe',
        'timeoutMs': 4000,
        'sloMs': 400,
        'priority': 1,
        'service': 'shop',
        'attempts': 1,
        'public': False,
        **fields,
    }


def make_stream_route(prefix: str, **fields: Any) -> dict[str, Any]:
    return make_route(
        prefix,
        **{
            'type': 'streaming',
            'service': 'llm',
            'attempts': 2,
            'resumable': True,
            **fields,
        },
    )


ROUTES = (
    make_route('/order/'),
    make_route('/price/', type='safe', attempts=2),
    make_stream_route('/stream/'),
    make_stream_route('/stream/once/', resumable=False, attempts=1),
)


def make_configuration(
    version: int = 1,
    prepaid: int = 100_000,
    routes: tuple[dict[str, Any], ...] = ROUTES,
    keys: tuple[str, ...] = (KEY,),
    **added: Any,
) -> dict[str, Any]:
    return {
        'version': version,
        'routes': list(routes),
        'services': [
            {
                'name': 'llm',
                'healthPath': '/healthz',
                'maxConns': 300,
                'engine': {'slots': 8, 'kvCapacity': 50_000, 'stride': 1},
                **added.get('engine_service', {}),
            },
            {'name': 'shop', 'healthPath': '/healthz', 'maxConns': 90},
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 100_000,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [
            {
                **make_workspace('joinville', prepaid, keys),
                **added.get('workspace', {}),
            },
            *added.get('workspaces', ()),
        ],
    }


def make_workspace(
    name: str, prepaid: int, keys: tuple[str, ...]
) -> dict[str, Any]:
    return {
        'name': name,
        'apiKeys': list(keys),
        'priority': 1,
        'prepaid': prepaid,
    }


def make_server(
    name: str, port: int, hall: str = HALL, version: str = VERSION
) -> list[Any]:
    service = 'llm' if name.startswith('engine') else 'shop'
    spec = {
        'service': service,
        'address': f'127.0.0.1:{port}',
        'zone': hall,
        'version': version,
        'slots': 6,
        'state': 'ready',
        'coldLeftMs': 0,
        'sequence': 1,
    }
    return ['servers', name, spec]


#: Fields that make a server entry invalid, by the kind of error.
FOREIGN = MappingProxyType(
    {
        'number': {'address': 5},
        'list': {'address': ['127.0.0.1:9']},
        'port': {'address': '127.0.0.1:70000'},
        'slots': {'slots': True},
        'state': {'state': 'asleep'},
        'born': {'born': 'yesterday'},
    }
)


def make_foreign(how: str) -> list[Any]:
    """Make an invalid server entry with the given kind of error."""
    kind, name, spec = make_server(f'foreign-{how}', 9)
    return [kind, name, {**spec, **FOREIGN[how]}]


def make_evacuation(hall: str) -> list[Any]:
    """Make an evacuation: no new requests to the servers of a hall."""
    return ['evacuations', hall, {}]


def make_next_start(server: str, spec: dict[str, Any]) -> list[Any]:
    """Make the entry of the next incarnation of a server."""
    born = spec.get('born', 1_000_000) + 1
    started = {**spec, 'state': 'ready', 'born': born, 'sequence': 1}
    return ['servers', server, started]
