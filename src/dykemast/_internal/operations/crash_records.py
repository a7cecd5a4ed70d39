"""Conversion of crash records between the store and the crash table."""

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

#: Servers accepted in one record.
MAX_SERVERS: Final = 16
#: Other suspects accepted for one server of a record.
MAX_CO_SUSPECTS: Final = 8


_Names = tuple[str, ...]


class _StoredRecord(TypedDict):
    request: str
    servers: tuple[str, ...]
    terms: int
    beside: NotRequired[list[_Names]]


def apply_record(table: CrashTable, record: CrashRecord, now: float) -> None:
    """Merge a record from the store into the crash table.

    Records do not hold the times of crashes. The crashes count as recent, each
    shortly after the previous one, so that a loss of all routers does not
    expire them early.

    :param table: the crash table.
    :param record: the record.
    :param now: seconds on the monotonic clock.
    """
    table.stored_records[record.request] = record
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
    for index, server in enumerate(record.servers):
        known = table.crashes.get(server)
        if known:
            # Records of two requests may share servers. Both must use the same
            # time for a crash, or the longer of the two sequences is cut short.
            ended_at = known.ended_at
        else:
            assumed_at = now - (len(record.servers) - index)
            ended_at = max(assumed_at, (ended_at + now) / 2)
        yield _make_crash(record, index, now - ended_at)


def _make_crash(record: CrashRecord, index: int, age: float) -> ServerCrash:
    suspects = record.list_suspects(index)
    return ServerCrash(
        record.servers[index],
        age,
        tuple(Suspect(request, age) for request in suspects),
    )


def encode_record(record: CrashRecord) -> dict[str, Any]:
    """Encode a record as fields of a store object.

    :param record: the record.
    :returns: fields by name, readable for operators.
    """
    return {
        **record._asdict(),
        'servers': list(record.servers),
        'beside': [list(others) for others in record.beside],
    }


def decode_record(name: str, spec: object) -> CrashRecord:
    """Decode the fields of a store object.

    :param name: name of the object.
    :param spec: fields of the object.
    :returns: the record.
    :raises InvalidDataError: when the fields are not valid.
    """
    try:
        fields = msgspec.convert(spec, _StoredRecord)
    except msgspec.ValidationError as error:
        raise InvalidDataError(
            f'crash record "{name}" is not valid: {error}'
        ) from error
    record = CrashRecord(**fields)
    if record.request != name or record.terms < 0:
        raise InvalidDataError(
            f'crash record "{name}" names request "{record.request}" and '
            f'{record.terms} terms (at least 0)'
        )
    return record._replace(
        servers=record.servers[:MAX_SERVERS],
        beside=tuple(others[:MAX_CO_SUSPECTS] for others in record.beside),
    )
