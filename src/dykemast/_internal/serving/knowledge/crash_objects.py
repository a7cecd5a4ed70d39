"""Store objects that hold records of requests that crash servers."""

from typing import Final

from dykemast._internal.exceptions import (
    InvalidDataError,
    VersionConflictError,
)
from dykemast._internal.models.crashes import CrashRecord
from dykemast._internal.operations.crash_records import (
    decode_record,
    encode_record,
)
from dykemast._internal.platform.objects import ObjectStore
from dykemast._internal.platform.store_types import StoreObject

#: Kind of these objects. Each object is named after its request.
RECORD_KIND: Final = 'dykemast-crashing-requests'


async def write_record(store: ObjectStore, record: CrashRecord) -> None:
    """Write a record to the store, unless the store holds more already.

    :param store: the object store.
    :param record: the record.
    :raises PlatformError: when the write failed.
    """
    created = StoreObject(record.request, 0, encode_record(record))
    try:
        await store.write(RECORD_KIND, created)
    except VersionConflictError as conflict:
        stored = conflict.current
        known = _decode_stored(stored)
        if known is None or not known.covers(record):
            replaced = created._replace(revision=stored.revision)
            await store.write(RECORD_KIND, replaced)


def _decode_stored(stored: StoreObject) -> CrashRecord | None:
    try:
        return decode_record(stored.name, stored.spec)
    except InvalidDataError:
        # An unreadable object is overwritten.
        return None
