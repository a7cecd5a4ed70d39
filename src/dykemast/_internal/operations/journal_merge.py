"""Which of two attempts under one key stands: the first to be written.

Appending is idempotent: a copy of an entry that stands is answered as ours,
so a write whose answer was lost is simply made again.
"""

from typing import NamedTuple

from dykemast._internal.models.journal import (
    Entry,
    EntryKind,
    JournalAck,
    Verdict,
)


class KeyRecord(NamedTuple):
    """What stands under one key.

    :param claim: the first claim, if any.
    :param finish: the first outcome, if any.
    """

    claim: Entry | None = None
    finish: Entry | None = None


class Merged(NamedTuple):
    """Result of merging a batch.

    :param new_entries: entries that have to be written, in order.
    :param acks: an answer for each entry of the batch.
    """

    new_entries: list[Entry]
    acks: list[JournalAck]


def add_entry(records: dict[str, KeyRecord], entry: Entry) -> None:
    """Put a written entry into the index.

    :param records: the index, changed in place.
    :param entry: what was written.
    """
    record = records.get(entry.key, KeyRecord())
    if entry.kind == EntryKind.claimed:
        records[entry.key] = record._replace(claim=record.claim or entry)
    else:
        records[entry.key] = record._replace(finish=record.finish or entry)


def prune_records(records: dict[str, KeyRecord], before: float) -> None:
    """Drop what is older than the retry window from the index.

    :param records: the index, changed in place.
    :param before: seconds since 1970.
    """
    old = [
        key
        for key, record in records.items()
        if all(entry.at < before for entry in record if entry)
    ]
    for key in old:
        records.pop(key)


def merge_batch(records: dict[str, KeyRecord], batch: list[Entry]) -> Merged:
    """Decide which entries of a batch stand.

    :param records: index of what is written; not changed.
    :param batch: entries to append, in order.
    :returns: what to write, and the answers.
    """
    overlay: dict[str, KeyRecord] = {}
    merged = Merged([], [])
    for entry in batch:
        overlay.setdefault(entry.key, records.get(entry.key, KeyRecord()))
        ack = judge_entry(overlay[entry.key], entry)
        if ack is None:
            # Whether it is new must not be told from its identity: a bill
            # that is written again is often the very same object.
            ack = JournalAck(Verdict.ours, entry)
            add_entry(overlay, entry)
            merged.new_entries.append(entry)
        merged.acks.append(ack)
    return merged


def judge_entry(record: KeyRecord, entry: Entry) -> JournalAck | None:
    """Decide whether one entry stands.

    :param record: what stands under its key.
    :param entry: what is to be appended.
    :returns: the entry that stands already; nothing when this one may.
    """
    if record.finish:
        return _compare(record.finish, entry, Verdict.finished)
    if record.claim and record.claim.run != entry.run:
        return JournalAck(Verdict.claimed, record.claim)
    if record.claim and entry.kind == EntryKind.claimed:
        return JournalAck(Verdict.ours, record.claim)
    return None


def _compare(standing: Entry, entry: Entry, otherwise: Verdict) -> JournalAck:
    # A claim that comes after its own outcome is a late copy.
    same = standing.run == entry.run
    return JournalAck(Verdict.ours if same else otherwise, standing)
