"""Decoding of the routes in the configuration."""

from types import MappingProxyType
from typing import Any, Final

from dykemast._internal.models.routing_table import (
    Route,
    RouteKey,
    RouteKind,
    Share,
)

_MS: Final = 1000.0
_KINDS: Final = MappingProxyType(
    {
        'safe': RouteKind.safe,
        'unsafe': RouteKind.unsafe,
        'streaming': RouteKind.stream,
    }
)

Document = dict[str, Any]


def decode_routes(listed: list[Document]) -> dict[RouteKey, Route]:
    """Decode all routes.

    :param listed: routes of the configuration document.
    :returns: routes by host name and path prefix.
    """
    routes = (_decode_route(fields) for fields in listed)
    return {RouteKey(route.host, route.prefix): route for route in routes}


def _decode_route(fields: Document) -> Route:
    return Route(
        name=fields['name'],
        host=fields['host'].lower(),
        prefix=fields['pathPrefix'],
        kind=_KINDS[fields['type']],
        shares=_decode_shares(fields),
        timeout=fields['timeoutMs'] / _MS,
        objective=fields['sloMs'] / _MS,
        pause_objective=fields.get('gapAimMs', 0) / _MS,
        priority=int(fields.get('priority', 0)),
        max_workers=int(fields.get('attempts', 1)),
        public=bool(fields.get('public')),
        resumable=bool(fields.get('resumable')),
        allowed_regions=decode_allowed_regions(fields),
    )


def decode_allowed_regions(fields: Document) -> frozenset[str] | None:
    """Decode the allowed regions of a route or workspace.

    :param fields: fields of the route or workspace.
    :returns: the allowed regions; None when all are allowed.
    """
    regions = fields.get('allowedRegions')
    return frozenset(regions) if regions else None


def _decode_shares(fields: Document) -> tuple[Share, ...]:
    # A route has either one service or a weighted split over several.
    split = fields.get('split')
    if not split:
        return (Share(fields['service'], 1),)
    return tuple(Share(one['service'], one['weight']) for one in split)
