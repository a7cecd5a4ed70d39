"""Merge of journal entries: the first one written under a key wins.

Appending is idempotent: a repeated entry gets the verdict ``ours``, so a
write whose answer was lost is retried.
"""

from typing import NamedTuple

from dykemast._internal.models.journal import (
    Entry,
    EntryKind,
    JournalAck,
    Verdict,
)


class KeyRecord(NamedTuple):
    """Written entries of one key.

    :param claim: the first claim, if any.
    :param finish: the first outcome, if any.
    """

    claim: Entry | None = None
    finish: Entry | None = None


class MergedBatch(NamedTuple):
    """Result of merging a batch.

    :param new_entries: entries that have to be written, in order.
    :param acks: answer to each entry of the batch.
    """

    new_entries: list[Entry]
    acks: list[JournalAck]


def add_entry(records: dict[str, KeyRecord], entry: Entry) -> None:
    """Add a written entry to the index.

    :param records: the index, changed in place.
    :param entry: the entry.
    """
    record = records.get(entry.key, KeyRecord())
    if entry.kind == EntryKind.claimed:
        records[entry.key] = record._replace(claim=record.claim or entry)
    else:
        records[entry.key] = record._replace(finish=record.finish or entry)


def prune_records(records: dict[str, KeyRecord], before: float) -> None:
    """Drop keys with only entries before the retry window from the index.

    :param records: the index, changed in place.
    :param before: start of the window, in seconds since 1970.
    """
    old = [
        key
        for key, record in records.items()
        if all(entry.at < before for entry in record if entry)
    ]
    for key in old:
        records.pop(key)


def merge_batch(
    records: dict[str, KeyRecord], batch: list[Entry]
) -> MergedBatch:
    """Select the entries of a batch to be written.

    :param records: index of the written entries; not changed.
    :param batch: entries to append, in order.
    :returns: entries to write, and the answers.
    """
    overlay: dict[str, KeyRecord] = {}
    merged = MergedBatch([], [])
    for entry in batch:
        overlay.setdefault(entry.key, records.get(entry.key, KeyRecord()))
        ack = find_precedence(overlay[entry.key], entry)
        if ack is None:
            # Object identity does not show whether an entry is new: a bill
            # that is written again is often the same object.
            ack = JournalAck(Verdict.ours, entry)
            add_entry(overlay, entry)
            merged.new_entries.append(entry)
        merged.acks.append(ack)
    return merged


def find_precedence(record: KeyRecord, entry: Entry) -> JournalAck | None:
    """Compare an entry with those written under its key.

    :param record: written entries of its key.
    :param entry: entry to append.
    :returns: answer with the written entry that takes precedence; None if
        this entry has to be written.
    """
    if record.finish:
        return _compare(record.finish, entry, Verdict.finished)
    if record.claim and record.claim.run != entry.run:
        return JournalAck(Verdict.claimed, record.claim)
    if record.claim and entry.kind == EntryKind.claimed:
        return JournalAck(Verdict.ours, record.claim)
    return None


def _compare(written: Entry, entry: Entry, otherwise: Verdict) -> JournalAck:
    # A claim that arrives after its own outcome is a delayed copy.
    same = written.run == entry.run
    return JournalAck(Verdict.ours if same else otherwise, written)
