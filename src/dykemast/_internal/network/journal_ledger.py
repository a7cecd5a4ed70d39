"""Journal shards: sequences of segment objects that hold claims and bills.

Only the last segment is open. A conditional update seals it before the next
one is created. A writer that was suspended while another one took over
therefore fails on its next write instead of writing concurrently.
"""

import math
from typing import Final, NamedTuple

import msgspec

from dykemast._internal.models.journal import Entry, Segment
from dykemast._internal.network.platform import Platform
from dykemast._internal.operations.group_commit import Merge
from dykemast._internal.operations.journal_merge import (
    KeyRecord,
    add_entry,
    prune_records,
    merge_batch,
)
from dykemast._internal.utils.clock import read_time_of_day

#: Prefix of the names of segments.
PREFIX: Final = 'journal/'
#: A segment is sealed when its encoded size exceeds this.
SEGMENT_BYTES: Final = 65536


class Tail(NamedTuple):
    """The open segment of a shard.

    :param number: position in the sequence of segments.
    :param version: version of its object; 0 when it does not exist yet.
    :param entries: entries of the segment.
    """

    number: int = 0
    version: int = 0
    entries: tuple[Entry, ...] = ()


class JournalShard:
    """Cached state of one shard in the router that writes it.

    :param platform: session with the platform.
    :param name: name of the shard, prefix of its segments' names.
    :param window: seconds for which the records of keys are retained.
    """

    def __init__(
        self,
        platform: Platform,
        name: str,
        window: float = math.inf,
    ) -> None:
        """Initialize the shard without loading it."""
        self._window = window
        self.records: dict[str, KeyRecord] = {}
        self._platform = platform
        self._name = name
        self._tail = Tail()
        self._next = 0
        self._sealed: set[str] = set()

    async def load(self) -> None:
        """Read the segments that are not cached as sealed.

        :raises PlatformError: when a segment cannot be read.
        """
        self._tail = Tail(self._next)
        listed = await self._platform.list_objects(f'{self._name}/')
        for one in listed:
            if one.name not in self._sealed:
                await self._load_segment(one.name)

    def merge(self, batch: list[Entry]) -> Merge:
        """Merge entries into the cached state.

        :param batch: the entries.
        :returns: acknowledgements, and a function that writes new entries.
        """
        merged = merge_batch(self.records, batch)

        async def save() -> None:
            await self._append(merged.new_entries)

        return Merge(bool(merged.new_entries), merged.acks, save)

    async def _load_segment(self, name: str) -> None:
        stored = await self._platform.read(name)
        segment = decode_segment(stored.body)
        for entry in segment.entries:
            add_entry(self.records, entry)
        self._tail = Tail(_read_number(name))
        self._record_written(name, segment, stored.version)

    async def _append(self, new_entries: list[Entry]) -> None:
        segment = Segment([*self._tail.entries, *new_entries])
        if _compute_size_bytes(segment) > SEGMENT_BYTES:
            segment = segment._replace(sealed=True)
        name = '{}/{:08d}'.format(self._name, self._tail.number)
        body = msgspec.json.encode(segment)
        version = await self._platform.write(name, body, self._tail.version)
        self._record_written(name, segment, version)
        for entry in new_entries:
            add_entry(self.records, entry)

    def _record_written(
        self, name: str, segment: Segment, version: int
    ) -> None:
        number = self._tail.number
        if segment.sealed:
            self._sealed.add(name)
            self._next = number + 1
            self._tail = Tail(self._next)
            prune_records(self.records, read_time_of_day() - self._window)
        else:
            self._tail = Tail(number, version, tuple(segment.entries))


def _read_number(name: str) -> int:
    return int(name.rsplit('/', 1)[1])


def _compute_size_bytes(segment: Segment) -> int:
    return len(msgspec.json.encode(segment))


def decode_segment(body: bytes) -> Segment:
    """Decode the value of a segment's object.

    :param body: the value; empty when the object does not exist.
    :returns: the segment.
    """
    return msgspec.json.decode(body, type=Segment) if body else Segment([])
