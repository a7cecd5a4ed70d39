"""Take over what the store keeps of requests that end servers."""

from collections.abc import Iterator
from typing import Final

import msgspec

from dykemast._internal.exceptions import NotUsableError
from dykemast._internal.models.crashes import (
    CrashRecord,
    Quarantine,
    ServerCrash,
    Suspect,
)
from dykemast._internal.operations.crash_evidence import note_crash
from dykemast._internal.operations.crash_judgement import measure_term
from dykemast._internal.operations.crash_news import take_quarantine
from dykemast._internal.operations.crash_table import CrashTable

#: Servers that are believed of one record.
MAX_SERVERS: Final = 16


def take_record(table: CrashTable, record: CrashRecord, now: float) -> None:
    """Take over what the store holds of a request.

    When its servers ended is not told: they count as ended now, a moment after
    one another, so that a loss of all routers makes nothing forgotten.

    :param table: what is known.
    :param record: what it holds.
    :param now: seconds.
    """
    table.kept[record.request] = record
    if record.request in table.acquitted:
        return
    for crash in _make_crashes(record):
        note_crash(table, crash, now)
    if record.strikes:
        term = measure_term(record.strikes)
        decided = Quarantine(record.request, 0, term, record.strikes)
        take_quarantine(table, decided, now)


def _make_crashes(record: CrashRecord) -> Iterator[ServerCrash]:
    count = len(record.servers)
    for place, server in enumerate(record.servers):
        age = float(count - place)
        yield ServerCrash(server, age, (Suspect(record.request, age),))


def decode_record(name: str, held: object) -> CrashRecord:
    """Read what an object of the store holds.

    :param name: its name.
    :param held: what it holds.
    :returns: the record.
    :raises NotUsableError: when it makes no sense.
    """
    try:
        record = msgspec.convert(held, CrashRecord)
    except msgspec.ValidationError as error:
        raise NotUsableError(f'a record of crashes: {error}') from error
    if record.request != name or record.strikes < 0:
        raise NotUsableError('a record of crashes is of another request.')
    return record._replace(servers=record.servers[:MAX_SERVERS])
