"""Sums of the bills in segments that are older than the retry window.

A segment is first added to the sums of its shard, which record its name, and
only then deleted. Repeating a step therefore has no effect.
"""

from typing import Final, NamedTuple

import msgspec

from dykemast._internal.models.journal import EntryKind, Segment
from dykemast._internal.network.journal_ledger import decode_segment
from dykemast._internal.network.platform import Platform, Stored

#: Prefix of the names of the objects with sums.
TOTALS: Final = 'totals/'


class Sum(NamedTuple):
    """Sum of the bills of one budget.

    :param bills: number of bills.
    :param tokens: total tokens of the bills.
    """

    bills: int = 0
    tokens: int = 0


class Totals(NamedTuple):
    """Sums of one shard.

    :param through: name of the last segment that is included.
    :param sums: sums by budget.
    """

    through: str
    sums: dict[str, Sum]


async def drop_oldest(platform: Platform, shard: str, before: float) -> bool:
    """Add the oldest segment of a shard to the sums and delete it, if due.

    :param platform: session with the platform.
    :param shard: name of the journal shard.
    :param before: seconds since 1970; segments with newer entries stay.
    :returns: whether a segment was deleted.
    :raises PlatformError: when a read or write fails.
    """
    listed = await platform.list_objects(f'{shard}/')
    if not listed:
        return False
    name = listed[0].name
    stored = await platform.read(name)
    segment = decode_segment(stored.body)
    if not _is_due(segment, before):
        return False
    await _add_segment(platform, name, segment)
    await platform.delete(name, stored.version)
    return True


def _is_due(segment: Segment, before: float) -> bool:
    return segment.sealed and all(
        entry.at < before for entry in segment.entries
    )


async def _add_segment(
    platform: Platform,
    name: str,
    segment: Segment,
) -> None:
    stored = await platform.read(TOTALS + name.rpartition('/')[0])
    totals = decode_totals(stored)
    if totals.through >= name:
        return
    added = Totals(name, add_bills(totals.sums, segment))
    await platform.write(
        TOTALS + name.rpartition('/')[0],
        msgspec.json.encode(added),
        stored.version,
    )


def add_bills(sums: dict[str, Sum], segment: Segment) -> dict[str, Sum]:
    """Add the bills of a segment to sums.

    :param sums: sums by budget; not modified.
    :param segment: the segment.
    :returns: the new sums.
    """
    added = {**sums}
    for entry in segment.entries:
        if entry.kind == EntryKind.finished:
            known = added.get(entry.budget, Sum())
            added[entry.budget] = Sum(
                known.bills + 1, known.tokens + entry.tokens
            )
    return added


def decode_totals(stored: Stored) -> Totals:
    """Decode the sums of a shard.

    :param stored: the stored object.
    :returns: the sums; empty when the object does not exist.
    """
    if not stored.body:
        return Totals('', {})
    return msgspec.json.decode(stored.body, type=Totals)
