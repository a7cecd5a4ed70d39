"""Journal entries: claims before a call, bills after it."""

import enum
from typing import NamedTuple


class EntryKind(enum.StrEnum):
    """Kind of a journal entry."""

    claimed = 'claimed'
    finished = 'finished'


class Entry(NamedTuple):
    """Claim or outcome of one request.

    :param key: workspace and idempotency key.
    :param kind: claim or outcome.
    :param run: id of the attempt: incarnation and request id.
    :param budget: budget that is charged; empty for a claim.
    :param tokens: tokens billed.
    :param outcome: how the attempt ended, e.g. ``whole`` or ``cut``.
    :param at: time at the router, in seconds since 1970.
    :param answer: recorded answer to replay; empty if none is kept.
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
    """Result of appending an entry."""

    #: The entry is in the journal, written now or by an earlier retry.
    ours = 'ours'
    #: Another attempt has claimed the key before.
    claimed = 'claimed'
    #: Another attempt has finished under the key before.
    finished = 'finished'


class JournalAck(NamedTuple):
    """Answer to an append.

    :param verdict: result of the append.
    :param entry: the entry that the journal has for the key.
    """

    verdict: Verdict
    entry: Entry


class Segment(NamedTuple):
    """One of the consecutive objects that make up a journal shard.

    :param entries: entries in order of appending.
    :param sealed: whether new entries go to the next segment.
    """

    entries: list[Entry]
    sealed: bool = False
