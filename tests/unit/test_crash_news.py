"""Routers come to the same knowledge of requests that end servers.

An end counts once, whoever tells of it and however often: a count at each
router, or a sum of what they tell, would have let 18 servers end with six
routers, or condemned an innocent request that three of them told of.
"""

import random

from dykemast._internal.models.crashes import (
    CrashRecord,
    ServerCrash,
    Suspect,
)
from dykemast._internal.operations import crash_gossip
from dykemast._internal.operations.crash_evidence import (
    clear_suspect,
    record_crash,
)
from dykemast._internal.operations.crash_review import (
    QUARANTINE_S,
    DECISION_DELAY_S,
    review_suspects,
)
from dykemast._internal.operations.crash_persistence import (
    list_stale_records,
    list_unsaved_records,
)
from dykemast._internal.operations.crash_records import apply_record
from dykemast._internal.operations.crash_table import (
    CRASH_RETENTION_S,
    CrashTable,
)
from dykemast._internal.utils.packing import FAST_COMPRESSION, pack

#: Seconds that news are under way.
TRANSIT = 0.01
#: Bytes of news that a crowd of crashes may add to those of one round.
MAX_BYTES = 6000


def note_end(table: CrashTable, server: str, now: float) -> None:
    crash = ServerCrash(server, 0, (Suspect('a', 0.2),), 'llm', 8)
    record_crash(table, crash, now)
    review_suspects(table, now)


def tell(teller: CrashTable, hearer: CrashTable, now: float) -> None:
    told = crash_gossip.build_crash_gossip(teller, now)
    if crash_gossip.apply_crash_gossip(hearer, told, now + TRANSIT):
        review_suspects(hearer, now + TRANSIT)


def spread(tables: list[CrashTable], now: float, rounds: int) -> float:
    """Have each router tell three others in each round, as they do."""
    chance = random.Random(1)
    for _ in range(rounds):
        now += 0.2
        for teller in tables:
            for hearer in chance.sample(tables, min(3, len(tables))):
                tell(teller, hearer, now)
    return now


def test_ends_at_three_routers_condemn_at_all_within_two_seconds() -> None:
    # 3 s are given; the last end settles for 1.5 s.
    for count in (3, 8, 75, 195):
        tables = [CrashTable() for _ in range(count)]
        for place in range(3):
            note_end(tables[place], f'server-{place}', 100 + place)
        now = spread(tables, 102, 8)
        assert now < 102 + 2
        for table in tables:
            review_suspects(table, now)
        assert all('a' in table.quarantines for table in tables), count


def test_an_end_that_many_tell_of_counts_once() -> None:
    tables = [CrashTable() for _ in range(6)]
    for table in tables:
        note_end(table, 'server', 100)
    spread(tables, 100, 4)
    assert {table.count_crashes('a') for table in tables} == {1}


def test_who_is_cleared_at_one_router_is_cleared_at_all() -> None:
    tables = [CrashTable() for _ in range(6)]
    for place in range(3):
        note_end(tables[0], f'server-{place}', 100 + place)
    now = spread(tables, 103, 4)
    clear_suspect(tables[5], 'a', now)
    review_suspects(tables[5], now)
    now = spread(tables, now, 6)
    for table in tables:
        review_suspects(table, now)
    assert not any('a' in table.quarantines for table in tables)


def make_suspects(server: int) -> tuple[Suspect, ...]:
    names = (f'{server}-{place}'.rjust(24, 'x') for place in range(100))
    return tuple(Suspect(one, 0.2) for one in names)


def test_news_of_many_crashes_are_bounded() -> None:
    table = CrashTable()
    for server in range(500):
        suspects = make_suspects(server)
        crash = ServerCrash(f'i-{server}', 0, suspects, 'llm', 44)
        record_crash(table, crash, 100)
    review_suspects(table, 100)
    message = crash_gossip.build_crash_gossip(table, 100)
    assert len(pack(message, FAST_COMPRESSION)) < MAX_BYTES
    assert len(table.crashes) <= 256


def find_record(table: CrashTable) -> CrashRecord:
    records = list_unsaved_records(table)
    assert records, 'the store has to keep it'
    return records[0]


def test_what_the_store_keeps_outlasts_a_loss_of_all_routers() -> None:
    before = CrashTable()
    for place in range(3):
        note_end(before, f'server-{place}', 100 + place)
    review_suspects(before, 102 + DECISION_DELAY_S)
    after = CrashTable()
    apply_record(after, find_record(before), 7)
    review_suspects(after, 7)
    assert after.get_quarantine_left('a', 7) == QUARANTINE_S
    assert not list_unsaved_records(after)


def test_two_ends_before_a_loss_and_one_after_it_condemn() -> None:
    before = CrashTable()
    for place in range(2):
        note_end(before, f'server-{place}', 100 + place)
    after = CrashTable()
    apply_record(after, find_record(before), 7)
    note_end(after, 'server-2', 8)
    assert review_suspects(after, 8 + DECISION_DELAY_S) == ['a']


def test_ends_in_the_store_and_in_news_are_the_same_ends() -> None:
    before = CrashTable()
    for place in range(2):
        note_end(before, f'server-{place}', 100 + place)
    record = find_record(before)
    table = CrashTable()
    apply_record(table, record, 102)
    tell(before, table, 102)
    apply_record(table, record, 103)
    review_suspects(table, 103)
    assert table.count_crashes('a') == 2


def test_one_end_alone_is_not_worth_a_write() -> None:
    table = CrashTable()
    note_end(table, 'server', 100)
    assert not list_unsaved_records(table)


def test_what_counts_no_more_is_removed_from_the_store() -> None:
    table = CrashTable()
    apply_record(table, CrashRecord('a', ('x', 'y'), 0), 100)
    review_suspects(table, 100)
    assert not list_stale_records(table)
    review_suspects(table, 103 + CRASH_RETENTION_S)
    assert list_stale_records(table) == ['a']


def end_only_server(table: CrashTable, name: str, now: float) -> None:
    both = (Suspect('slow', 0.2), Suspect('crash', 0.1))
    record_crash(table, ServerCrash(name, 0, both, 'shop'), now)
    review_suspects(table, now)


def test_a_record_does_not_quarantine_who_was_there_each_time() -> None:
    # A service with one server, where a slow question is always under way
    # beside the request that ends it. While both are known to be there, neither
    # is told from the other; what the store keeps names one alone, and that one
    # was quarantined after its third end, for 10 minutes, at all routers.
    before = CrashTable()
    end_only_server(before, 'server-0', 100)
    end_only_server(before, 'server-1', 102)
    slow = [
        one for one in list_unsaved_records(before) if one.request == 'slow'
    ]
    after = CrashTable()
    apply_record(after, slow[0], 7)
    end_only_server(after, 'server-2', 8)
    review_suspects(after, 8 + DECISION_DELAY_S)
    assert 'slow' not in after.quarantines


def test_records_that_share_servers_tell_of_the_same_ends() -> None:
    # The record of the slow question was read first, and the guilty one's row,
    # one end longer, was cut to two: the slow one alone had three then.
    before = CrashTable()
    end_only_server(before, 'server-0', 100)
    end_only_server(before, 'server-1', 102)
    first = {one.request: one for one in list_unsaved_records(before)}
    end_only_server(before, 'server-2', 104)
    crash = {one.request: one for one in list_unsaved_records(before)}['crash']
    after = CrashTable()
    apply_record(after, first['slow'], 7)
    apply_record(after, crash, 7)
    review_suspects(after, 7)
    assert after.count_crashes('crash') == 3
    assert after.count_crashes('slow') == 3
