"""Take over what the store keeps of requests that end servers."""

from collections.abc import Iterator
from typing import Any, Final, TypedDict

import msgspec

from dykemast._internal.exceptions import NotUsableError
from dykemast._internal.models.crashes import (
    CrashRecord,
    Quarantine,
    ServerCrash,
    Suspect,
)
from dykemast._internal.operations.crash_evidence import note_crash
from dykemast._internal.operations.crash_review import measure_term
from dykemast._internal.operations.crash_news import take_quarantine
from dykemast._internal.operations.crash_table import CrashTable

#: Servers that are believed of one record.
MAX_SERVERS: Final = 16


class _HeldRecord(TypedDict):
    request: str
    servers: tuple[str, ...]
    terms: int


def take_record(table: CrashTable, record: CrashRecord, now: float) -> None:
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
    for crash in _make_crashes(record):
        note_crash(table, crash, now)
    if record.terms:
        term = measure_term(record.terms)
        decided = Quarantine(record.request, 0, term, record.terms)
        take_quarantine(table, decided, now)


def _make_crashes(record: CrashRecord) -> Iterator[ServerCrash]:
    count = len(record.servers)
    for place, server in enumerate(record.servers):
        age = float(count - place)
        yield ServerCrash(server, age, (Suspect(record.request, age),))


def encode_record(record: CrashRecord) -> dict[str, Any]:
    """Make what an object of the store holds.

    :param record: the record.
    :returns: fields by name, which operators can read.
    """
    return {**record._asdict(), 'servers': list(record.servers)}


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
        raise NotUsableError(f'a record of crashes: {error}') from error
    record = CrashRecord(**fields)
    if record.request != name or record.terms < 0:
        raise NotUsableError('a record of crashes is of another request.')
    return record._replace(servers=record.servers[:MAX_SERVERS])
