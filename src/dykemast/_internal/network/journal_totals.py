"""Sums of the bills in segments that are past the retry window.

A segment is first added to the sums of its shard, which name it as done,
and only then deleted: whoever repeats a step changes nothing.
"""

from typing import Final, NamedTuple

import msgspec

from dykemast._internal.models.journal import EntryKind, Segment
from dykemast._internal.network.journal_ledger import decode_segment
from dykemast._internal.network.platform import Platform, Stored

#: Start of the names of the objects with sums.
TOTALS: Final = 'totals/'


class Sum(NamedTuple):
    """Bills of one budget.

    :param bills: how many.
    :param tokens: tokens on them.
    """

    bills: int = 0
    tokens: int = 0


class Totals(NamedTuple):
    """Sums of one shard.

    :param through: name of the last segment in them.
    :param sums: by budget.
    """

    through: str
    sums: dict[str, Sum]


async def drop_oldest(platform: Platform, shard: str, before: float) -> bool:
    """Sum up the oldest segment of a shard and delete it, if it is due.

    :param platform: session with the platform.
    :param shard: name of the journal shard.
    :param before: seconds since 1970; newer segments stay.
    :returns: whether one was dropped.
    :raises PlatformError: when that was not possible now.
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

    :param sums: by budget; not changed.
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
    """Read the sums of a shard.

    :param stored: the object.
    :returns: the sums; none when there is no such object.
    """
    if not stored.body:
        return Totals('', {})
    return msgspec.json.decode(stored.body, type=Totals)
