"""Selection of the crash records that the store has to hold.

Routers have no storage of their own. Without the store, a loss of all routers
would erase their knowledge, and the request would crash three more servers.
"""

from typing import Final

from dykemast._internal.models.crashes import CrashRecord
from dykemast._internal.operations.crash_records import (
    MAX_CO_SUSPECTS,
    MAX_SERVERS,
)
from dykemast._internal.operations.crash_table import CrashTable

#: A record is stored from the second crash on. A single crash has many
#: suspects; few but the crashing requests are suspects of a second one.
MIN_STORED_CRASHES: Final = 2


def make_record(table: CrashTable, request: str) -> CrashRecord:
    """Make the record that the store has to hold for a request.

    :param table: the crash table.
    :param request: digest of the request.
    :returns: the record.
    """
    sequence = table.crash_sequences.get(request, [])[-MAX_SERVERS:]
    servers = tuple(run.server for run in sequence)
    term = table.quarantines.get(request)
    return CrashRecord(
        request,
        servers,
        term.terms if term else 0,
        tuple(_list_co_suspects(table, request, server) for server in servers),
    )


def list_unsaved_records(table: CrashTable) -> list[CrashRecord]:
    """List the records that the store has to hold and does not.

    :param table: the crash table.
    :returns: the records.
    """
    wanted = set(table.quarantines)
    wanted.update(_list_repeated_suspects(table))
    records = [make_record(table, request) for request in wanted]
    return [one for one in records if not _is_stored(table, one)]


def list_stale_records(table: CrashTable) -> list[str]:
    """List the requests whose stored record is no longer needed.

    :param table: the crash table.
    :returns: digests of the requests.
    """
    return [
        request
        for request in table.stored_records
        if request not in table.quarantines and not table.count_crashes(request)
    ]


def _list_co_suspects(
    table: CrashTable,
    request: str,
    server: str,
) -> tuple[str, ...]:
    # Without its co-suspects, a request that was running beside the crashing
    # one each time would be the only suspect in its own record and would be
    # quarantined.
    others = (
        other
        for other in _list_repeated_suspects(table)
        if other != request
        and any(run.server == server for run in table.crash_sequences[other])
    )
    return tuple(sorted(others)[:MAX_CO_SUSPECTS])


def _list_repeated_suspects(table: CrashTable) -> list[str]:
    return [
        request
        for request, sequence in table.crash_sequences.items()
        if len(sequence) >= MIN_STORED_CRASHES
    ]


def _is_stored(table: CrashTable, record: CrashRecord) -> bool:
    stored = table.stored_records.get(record.request)
    return stored is not None and stored.covers(record)
