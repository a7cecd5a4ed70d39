"""Entries of backend servers in the store, and of halls to be emptied."""

import re
from typing import Annotated, Any, Final, Literal, NotRequired, TypedDict

import msgspec

from dykemast._internal.exceptions import InvalidDataError
from dykemast._internal.models.backend import BackendServer
from dykemast._internal.platform.store_types import StoreObject
from dykemast._internal.platform.endpoints import decode_endpoint

#: Kind of these objects.
SERVER_KIND: Final = 'servers'
#: Kind of objects that ask that a hall's servers get nothing more, each by the
#: name of its hall; what they hold says nothing else.
EVACUATION_KIND: Final = 'evacuations'
#: Requests at once that an entry may claim. Far above those
#: of any real one: one that claims more would be sent everything.
MAX_SLOTS: Final = 100_000
#: Counts of heartbeats and of milliseconds, far beyond any that are true.
MAX_COUNT: Final = 1_000_000_000_000_000
#: Ids go into a header field of each send, so they are visible characters.
_ID: Final = re.compile('[!-~]{1,200}')
#: Characters of a name, and of an address; far more than users give.
_MAX_TEXT_CHARS: Final = 200
_READY: Final = 'ready'
_MS: Final = 1000.0
#: Milliseconds for which the server is still cold.
_COLD_LEFT: Final = 'coldLeftMs'
#: Seconds for which an entry may claim that its server is cold: one that
#: claims more would get a trickle for ever.
MAX_COLD_S: Final = 600.0

_Text = Annotated[str, msgspec.Meta(min_length=1, max_length=_MAX_TEXT_CHARS)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
_Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)]


class _Fields(TypedDict):
    """What an entry has to hold, and what may be in it besides."""

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
    :returns: the server, named by its id alone.
    :raises NotUsableError: when it names no server to use.
    """
    if not _ID.fullmatch(stored.name):
        raise InvalidDataError('the id is no word of visible characters.')
    try:
        return _decode(stored)
    except ValueError as error:
        raise InvalidDataError(f'the entry makes no sense: {error}') from error


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
    )


def _decode_cold(milliseconds: Any) -> float:
    return min(MAX_COLD_S, msgspec.convert(milliseconds, _Milliseconds) / _MS)
