"""Store entries of backend servers and of halls being evacuated."""

import hashlib
import re
from typing import Annotated, Any, Final, Literal, NotRequired, TypedDict

import msgspec

from dykemast._internal.exceptions import InvalidDataError
from dykemast._internal.models.backend import BackendServer
from dykemast._internal.platform.store_types import StoreObject
from dykemast._internal.platform.endpoints import decode_endpoint

#: Kind of the backend server entries.
SERVER_KIND: Final = 'servers'
#: Kind of objects that request the evacuation of a hall. The object's name is
#: the hall; its content is ignored.
EVACUATION_KIND: Final = 'evacuations'
#: Highest number of concurrent requests that an entry may claim, far above that
#: of real servers. A server that claims more would attract all requests.
MAX_SLOTS: Final = 100_000
#: Bound for heartbeat counts and milliseconds, far above real values.
MAX_COUNT: Final = 1_000_000_000_000_000
#: Ids are sent in a header field, so they contain visible characters only.
_ID: Final = re.compile('[!-~]{1,200}')
#: Maximum length of names and addresses, far above those in use.
_MAX_TEXT_CHARS: Final = 200
_READY: Final = 'ready'
_MS: Final = 1000.0
#: Field with the milliseconds for which the server stays cold.
_COLD_LEFT: Final = 'coldLeftMs'
#: Field with the version of the server's software.
_VERSION: Final = 'version'
#: Longest time for which an entry may declare its server cold. Without a bound
#: the server could stay rate-limited forever.
MAX_COLD_S: Final = 600.0

_Text = Annotated[str, msgspec.Meta(min_length=1, max_length=_MAX_TEXT_CHARS)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
_Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)]


class _Fields(TypedDict):
    """Required and optional fields of an entry."""

    service: _Text
    address: _Text
    zone: _Text
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: Literal['ready', 'draining']
    sequence: NotRequired[_Count]
    born: NotRequired[_Count]


def decode_server(stored: StoreObject) -> BackendServer:
    """Decode a backend server's entry.

    :param stored: the object; its name is the server's id.
    :returns: the server; its name is the id without an incarnation.
    :raises InvalidDataError: when the id or a field is invalid.
    """
    if not _ID.fullmatch(stored.name):
        raise InvalidDataError(
            f'server id {stored.name!r} is not 1 to 200 visible characters.'
        )
    try:
        return _decode(stored)
    except ValueError as error:
        raise InvalidDataError(
            f'invalid entry of {stored.name}: {error}'
        ) from error


def _decode(stored: StoreObject) -> BackendServer:
    fields = msgspec.convert(stored.spec, _Fields)
    return BackendServer(
        name=stored.name,
        server_id=stored.name,
        service=fields['service'],
        endpoint=decode_endpoint(fields['address']),
        hall=fields['zone'],
        slots=fields['slots'],
        leaving=fields['state'] != _READY,
        born=fields.get('born'),
        sequence=fields.get('sequence'),
        cold_left_s=_decode_cold(stored.spec.get(_COLD_LEFT, 0)),
        version=_decode_version(stored.spec.get(_VERSION)),
        era=stored.era,
        revision=stored.revision,
    )


def _decode_cold(milliseconds: Any) -> float:
    return min(MAX_COLD_S, msgspec.convert(milliseconds, _Milliseconds) / _MS)


def _decode_version(raw: Any) -> str:
    """Decode a version; one that is no short text becomes its digest."""
    if raw is None:
        return ''
    text = raw
    if not isinstance(raw, str):
        text = msgspec.json.encode(raw).decode()
    if len(text) <= _MAX_TEXT_CHARS:
        return text
    return hashlib.blake2b(text.encode(errors='replace')).hexdigest()
