"""Entries of the journal: claims before a call, bills after it."""

import enum
from typing import NamedTuple


class EntryKind(enum.StrEnum):
    """What an entry records."""

    claimed = 'claimed'
    finished = 'finished'


class Entry(NamedTuple):
    """One fact about one request.

    :param key: workspace and idempotency key.
    :param kind: claim or outcome.
    :param run: id of the attempt: incarnation and request id.
    :param budget: budget that pays, empty for a claim.
    :param tokens: tokens billed.
    :param outcome: how the attempt ended, e.g. ``whole`` or ``cut``.
    :param at: seconds since 1970 at the router.
    :param answer: recorded answer to replay, empty when none is kept.
    """

    key: str
    kind: EntryKind
    run: str
    budget: str = ''
    tokens: int = 0
    outcome: str = ''
    at: float = 0
    answer: str = ''


class Verdict(enum.StrEnum):
    """What became of an entry that was to be appended."""

    #: The entry stands, whether written now or by an earlier copy.
    ours = 'ours'
    #: Another attempt had claimed the key before.
    claimed = 'claimed'
    #: Another attempt had finished under the key before.
    finished = 'finished'


class JournalAck(NamedTuple):
    """Answer to an append.

    :param verdict: what became of it.
    :param entry: the entry that stands for the key.
    """

    verdict: Verdict
    entry: Entry


class Segment(NamedTuple):
    """One object in the run of objects that make up a journal shard.

    :param entries: in order of appending.
    :param sealed: whether the next segment has taken over.
    """

    entries: list[Entry]
    sealed: bool = False
