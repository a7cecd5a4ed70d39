"""Take over what the store keeps of requests that end servers."""

import math
from collections.abc import Iterator
from typing import Any, Final, NotRequired, TypedDict

import msgspec

from dykemast._internal.exceptions import InvalidDataError
from dykemast._internal.models.crashes import (
    CrashRecord,
    Quarantine,
    ServerCrash,
    Suspect,
)
from dykemast._internal.operations.crash_evidence import record_crash
from dykemast._internal.operations.crash_review import compute_quarantine_time
from dykemast._internal.operations.crash_gossip import apply_quarantine
from dykemast._internal.operations.crash_table import CrashTable

#: Servers that are believed of one record.
MAX_SERVERS: Final = 16
#: Other requests that are believed to have been at one of them.
MAX_CO_SUSPECTS: Final = 8


_Names = tuple[str, ...]


class _HeldRecord(TypedDict):
    request: str
    servers: tuple[str, ...]
    terms: int
    beside: NotRequired[list[_Names]]


def apply_record(table: CrashTable, record: CrashRecord, now: float) -> None:
    """Take over what the store holds of a request.

    When its servers ended is not told: they count as ended now, a moment after
    one another, so that a loss of all routers makes nothing forgotten.

    :param table: what is known.
    :param record: what it holds.
    :param now: seconds.
    """
    table.kept[record.request] = record
    if record.request in table.cleared:
        return
    for crash in _make_crashes(table, record, now):
        record_crash(table, crash, now)
    if record.terms:
        term = compute_quarantine_time(record.terms)
        decided = Quarantine(record.request, 0, term, record.terms)
        apply_quarantine(table, decided, now)


def _make_crashes(
    table: CrashTable,
    record: CrashRecord,
    now: float,
) -> Iterator[ServerCrash]:
    ended_at = -math.inf
    for place, server in enumerate(record.servers):
        known = table.crashes.get(server)
        if known:
            # Records of two requests share servers: all have to tell the same
            # moment of an end, or the longer row of the two breaks.
            ended_at = known.ended_at
        else:
            assumed_at = now - (len(record.servers) - place)
            ended_at = max(assumed_at, (ended_at + now) / 2)
        yield _make_crash(record, place, now - ended_at)


def _make_crash(record: CrashRecord, place: int, age: float) -> ServerCrash:
    suspects = record.list_suspects(place)
    return ServerCrash(
        record.servers[place],
        age,
        tuple(Suspect(request, age) for request in suspects),
    )


def encode_record(record: CrashRecord) -> dict[str, Any]:
    """Make what an object of the store holds.

    :param record: the record.
    :returns: fields by name, which operators can read.
    """
    return {
        **record._asdict(),
        'servers': list(record.servers),
        'beside': [list(others) for others in record.beside],
    }


def decode_record(name: str, held: object) -> CrashRecord:
    """Read what an object of the store holds.

    :param name: its name.
    :param held: what it holds.
    :returns: the record.
    :raises NotUsableError: when it makes no sense.
    """
    try:
        fields = msgspec.convert(held, _HeldRecord)
    except msgspec.ValidationError as error:
        raise InvalidDataError(f'a record of crashes: {error}') from error
    record = CrashRecord(**fields)
    if record.request != name or record.terms < 0:
        raise InvalidDataError('a record of crashes is of another request.')
    return record._replace(
        servers=record.servers[:MAX_SERVERS],
        beside=tuple(others[:MAX_CO_SUSPECTS] for others in record.beside),
    )
