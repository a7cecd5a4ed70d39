"""Decoding of the configuration object into a routing table."""

from typing import Any, Final

from dykemast._internal.exceptions import InvalidDataError
from dykemast._internal.models.routing_table import (
    RoutingTable,
    Workspace,
    hash_key,
)
from dykemast._internal.models.services import Engine, RequestLimits, Service
from dykemast._internal.platform.routes import (
    decode_allowed_regions,
    decode_routes,
)
from dykemast._internal.platform.store_types import StoreObject

#: Kind and name of the object.
CONFIGURATION_KIND: Final = 'config'
CONFIGURATION_NAME: Final = 'main'
_MS: Final = 1000.0

#: Errors raised by a document with missing fields or unexpected types.
_SCHEMA_ERRORS: Final = (
    AttributeError,
    KeyError,
    OverflowError,
    TypeError,
    ValueError,
)

Document = dict[str, Any]


def decode_configuration(stored: StoreObject) -> RoutingTable:
    """Decode the configuration.

    :param stored: the configuration object.
    :returns: the routing table.
    :raises InvalidDataError: when a field is missing or invalid.
    """
    try:
        return _decode(stored)
    except _SCHEMA_ERRORS as error:
        text = f'{type(error).__name__}: {error}'
        raise InvalidDataError(text) from error


def _decode(stored: StoreObject) -> RoutingTable:
    spec = stored.spec
    workspaces, keys = _decode_workspaces(spec.get('tenants') or [])
    return RoutingTable(
        version=int(spec['version']),
        revision=stored.revision,
        routes=decode_routes(spec['routes']),
        services={
            one['name']: _decode_service(one) for one in spec['services']
        },
        workspaces=workspaces,
        keys=keys,
        limits=_decode_limits(spec['limits']),
    )


def _decode_workspaces(
    listed: list[Document],
) -> tuple[dict[str, Workspace], dict[bytes, str]]:
    # The platform calls workspaces "tenants".
    workspaces = {
        one['name']: Workspace(
            one['name'],
            one.get('priority'),
            one.get('prepaid'),
            decode_allowed_regions(one),
        )
        for one in listed
    }
    keys = {
        hash_key(key): one['name'] for one in listed for key in one['apiKeys']
    }
    return workspaces, keys


def _decode_service(fields: Document) -> Service:
    return Service(
        name=fields['name'],
        max_connections=int(fields['maxConns']),
        health_path=str(fields.get('healthPath', '/')),
        engine=_decode_engine(fields.get('engine')),
        cold_rate=float(fields.get('coldPerS') or 0),
    )


def _decode_engine(fields: Document | None) -> Engine | None:
    if not fields:
        return None
    return Engine(
        slots=int(fields['slots']),
        cache_tokens=int(fields['kvCapacity']),
        # "stride" is the number of tokens per event.
        tokens_per_event=int(fields.get('stride', 1)),
    )


def _decode_limits(fields: Document) -> RequestLimits:
    return RequestLimits(
        header_bytes=int(fields['maxHeaderBytes']),
        body_bytes=int(fields['maxBodyBytes']),
        header_timeout_s=fields['headerTimeoutMs'] / _MS,
        idle_timeout_s=fields['idleTimeoutMs'] / _MS,
    )
