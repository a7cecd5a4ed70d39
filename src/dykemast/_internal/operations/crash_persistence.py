"""What the store has to hold of requests that end servers.

Routers keep nothing themselves: what only they knew would be gone when all of
them are lost at once, and the request would end three more servers.
"""

from typing import Final

from dykemast._internal.models.crashes import CrashRecord
from dykemast._internal.operations.crash_records import (
    MAX_CO_SUSPECTS,
    MAX_SERVERS,
)
from dykemast._internal.operations.crash_table import CrashTable

#: Ends from which on a request is kept: one end has many suspects, of whom a
#: second leaves hardly any but those that end servers.
MIN_STORED_CRASHES: Final = 2


def make_record(table: CrashTable, request: str) -> CrashRecord:
    """Make what the store has to hold of a request.

    :param table: what is known.
    :param request: its digest.
    :returns: the record.
    """
    sequence = table.crash_sequences.get(request, [])[-MAX_SERVERS:]
    servers = tuple(run.server for run in sequence)
    term = table.quarantines.get(request)
    return CrashRecord(
        request,
        servers,
        term.terms if term else 0,
        tuple(_list_beside(table, request, server) for server in servers),
    )


def list_unsaved_records(table: CrashTable) -> list[CrashRecord]:
    """List what the store has to hold and does not.

    :param table: what is known.
    :returns: records.
    """
    wanted = set(table.quarantines)
    wanted.update(_list_repeated(table))
    records = [make_record(table, request) for request in wanted]
    return [one for one in records if not _is_kept(table, one)]


def list_stale_records(table: CrashTable) -> list[str]:
    """List the requests that the store holds and has not to hold any more.

    :param table: what is known.
    :returns: their digests.
    """
    return [
        request
        for request in table.kept
        if request not in table.quarantines and not table.count_crashes(request)
    ]


def _list_beside(
    table: CrashTable,
    request: str,
    server: str,
) -> tuple[str, ...]:
    # Without them, whoever was beside the guilty one each time would be alone
    # in its own record, and guilty by it.
    others = (
        other
        for other in _list_repeated(table)
        if other != request
        and any(run.server == server for run in table.crash_sequences[other])
    )
    return tuple(sorted(others)[:MAX_CO_SUSPECTS])


def _list_repeated(table: CrashTable) -> list[str]:
    return [
        request
        for request, sequence in table.crash_sequences.items()
        if len(sequence) >= MIN_STORED_CRASHES
    ]


def _is_kept(table: CrashTable, record: CrashRecord) -> bool:
    kept = table.kept.get(record.request)
    return kept is not None and kept.covers(record)
