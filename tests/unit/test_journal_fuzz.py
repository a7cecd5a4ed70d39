"""Requests are billed once and run at most once with any write faults.

Writes are lost, delayed or duplicated. The oracle records how often each key
was run, and which entries were acknowledged.
"""

import contextlib
from collections import Counter

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dykemast._internal.exceptions import (
    PlatformError,
    VersionConflictError,
)
from dykemast._internal.models.journal import Entry, EntryKind, Verdict
from dykemast._internal.network import journal_ledger
from dykemast._internal.operations.group_commit import (
    LedgerCallbacks,
    write_once,
)
from tests.lib.fake_platform import FakePlatform, drive

OWNERS = st.integers(0, 2)
KEYS = st.sampled_from(['k1', 'k2', 'k3'])
FAULT = st.sampled_from(['', 'lose', 'drop', 'late'])
FAULTS = st.lists(FAULT, max_size=4)
TRIES = 3

# Small enough that the segments of a few entries are sealed.
journal_ledger.SEGMENT_BYTES = 300


class JournalMachine(RuleBasedStateMachine):
    """Several writers that all act as owner of the shard."""

    def __init__(self) -> None:
        super().__init__()
        self.platform = FakePlatform()
        self.owners = [self.make_owner() for _ in range(3)]
        self.runs = Counter()
        self.attempts = 0
        self.bills = []
        self.stands = []

    def make_owner(self):
        return journal_ledger.JournalShard(self.platform, 'journal/0')

    def commit(self, owner, entries):
        """Write as the group commit does; None if all attempts failed."""
        shard = self.owners[owner]
        for _ in range(TRIES):
            with contextlib.suppress(PlatformError):
                ledger = LedgerCallbacks(shard.load, shard.merge)
                return drive(write_once(ledger, entries))
            drive(shard.load())
        return None

    @rule(owner=OWNERS, key=KEYS, faults=FAULTS)
    def attempt(self, owner, key, faults) -> None:
        """Claim a key, and run it if the claim succeeds."""
        self.attempts += 1
        run = f'run-{self.attempts}'
        claim = Entry(key, EntryKind.claimed, run)
        self.platform.faults.extend(faults)
        acks = self.commit(owner, [claim])
        self.platform.faults.clear()
        if acks and acks[0].verdict == Verdict.ours:
            self.runs[key] += 1
            bill = Entry(key, EntryKind.finished, run, 'b', self.attempts)
            self.bills.append(bill)

    @rule(key=KEYS)
    def run_repeatable(self, key) -> None:
        """Run without a claim; other attempts may do so too."""
        self.attempts += 1
        run = f'run-{self.attempts}'
        self.bills.append(
            Entry(f'r{key}', EntryKind.finished, run, 'b', self.attempts)
        )

    @rule(owner=OWNERS, place=st.integers(0, 9), faults=FAULTS)
    def bill(self, owner, place, faults) -> None:
        """Write some bills, including ones written before."""
        bills = self.bills[place : place + 3]
        self.platform.faults.extend(faults)
        acks = self.commit(owner, bills) or []
        self.platform.faults.clear()
        self.stands.extend(ack.entry for ack in acks)

    @rule(place=st.integers(0, 9))
    def arrive_late(self, place) -> None:
        if self.platform.late:
            late = self.platform.late
            with contextlib.suppress(VersionConflictError):
                self.platform.apply(late.pop(place % len(late)))

    @rule(owner=OWNERS)
    def restart(self, owner) -> None:
        self.owners[owner] = self.make_owner()

    def read_entries(self):
        return [
            entry
            for stored in self.platform.store.values()
            for entry in journal_ledger.decode_segment(stored.body).entries
        ]

    @invariant()
    def runs_at_most_once(self) -> None:
        assert max(self.runs.values(), default=0) <= 1, 'ran twice'

    @invariant()
    def stands_once(self) -> None:
        entries = self.read_entries()
        counts = Counter((entry.key, entry.kind) for entry in entries)
        assert max(counts.values(), default=0) <= 1, 'billed twice'
        assert set(self.stands) <= set(entries), 'a bill was lost'


JournalCase = JournalMachine.TestCase
