"""Entries of backend servers in the store."""

from typing import Final

from dykemast._internal.models.backend import BackendServer
from dykemast._internal.platform.store_types import StoreObject
from dykemast._internal.platform.endpoints import decode_endpoint

#: Kind of these objects.
SERVER_KIND: Final = 'servers'


def decode_server(stored: StoreObject) -> BackendServer:
    """Decode a backend server's entry.

    :param stored: the object; its name is the server's id.
    :returns: the backend server.
    :raises KeyError, TypeError, ValueError: when it makes no sense.
    """
    spec = stored.spec
    return BackendServer(
        name=stored.name,
        service=spec['service'],
        endpoint=decode_endpoint(spec['address']),
        hall=spec['zone'],
        slots=int(spec['slots']),
        leaving=spec['state'] != 'ready',
    )
