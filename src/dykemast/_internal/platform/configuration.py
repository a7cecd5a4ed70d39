"""The configuration object, decoded into a routing table."""

from typing import Any, Final

from dykemast._internal.models.routing_table import (
    Engine,
    Limits,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    Share,
    Workspace,
    hash_key,
)
from dykemast._internal.platform.objects import StoreObject

#: Kind and name of the object.
CONFIGURATION_KIND: Final = 'config'
CONFIGURATION_NAME: Final = 'main'
_MS: Final = 1000.0
_KINDS: Final = {
    'safe': RouteKind.safe,
    'unsafe': RouteKind.unsafe,
    'streaming': RouteKind.stream,
}


def decode_configuration(stored: StoreObject) -> RoutingTable:
    """Decode the configuration.

    :param stored: the object.
    :returns: the routing table.
    :raises KeyError, TypeError, ValueError: when it makes no sense.
    """
    spec = stored.spec
    workspaces, keys = _decode_workspaces(spec.get('tenants') or [])
    return RoutingTable(
        version=int(spec['version']),
        revision=stored.revision,
        routes=_index_routes([_decode_route(one) for one in spec['routes']]),
        services={
            one['name']: _decode_service(one) for one in spec['services']
        },
        workspaces=workspaces,
        keys=keys,
        limits=_decode_limits(spec['limits']),
    )


def _decode_workspaces(
    listed: list[dict[str, Any]],
) -> tuple[dict[str, Workspace], dict[bytes, str]]:
    # Tenants are this project's workspaces.
    workspaces = {
        one['name']: Workspace(
            one['name'], one.get('priority'), one.get('prepaid')
        )
        for one in listed
    }
    keys = {
        hash_key(key): one['name'] for one in listed for key in one['apiKeys']
    }
    return workspaces, keys


def _decode_route(fields: dict[str, Any]) -> Route:
    return Route(
        name=fields['name'],
        host=fields['host'].lower(),
        prefix=fields['pathPrefix'],
        kind=_KINDS[fields['type']],
        shares=_decode_shares(fields),
        timeout=fields['timeoutMs'] / _MS,
        objective=fields['sloMs'] / _MS,
        priority=int(fields.get('priority', 0)),
        max_workers=int(fields.get('attempts', 1)),
        public=bool(fields.get('public')),
        resumable=bool(fields.get('resumable')),
    )


def _decode_shares(fields: dict[str, Any]) -> tuple[Share, ...]:
    # A route names either one service or a split over several.
    split = fields.get('split')
    if not split:
        return (Share(fields['service'], 1),)
    return tuple(Share(one['service'], one['weight']) for one in split)


def _index_routes(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(found, key=lambda one: -len(one.prefix)))
        for host, found in by_host.items()
    }


def _decode_service(fields: dict[str, Any]) -> Service:
    return Service(
        name=fields['name'],
        max_connections=int(fields['maxConns']),
        engine=_decode_engine(fields.get('engine')),
    )


def _decode_engine(fields: dict[str, Any] | None) -> Engine | None:
    if not fields:
        return None
    return Engine(
        slots=int(fields['slots']),
        memory=int(fields['kvCapacity']),
        # The stride is the number of tokens in one event.
        tokens_per_event=int(fields.get('stride', 1)),
    )


def _decode_limits(fields: dict[str, Any]) -> Limits:
    return Limits(
        header_bytes=int(fields['maxHeaderBytes']),
        body_bytes=int(fields['maxBodyBytes']),
        header_timeout=fields['headerTimeoutMs'] / _MS,
        idle_timeout=fields['idleTimeoutMs'] / _MS,
    )
