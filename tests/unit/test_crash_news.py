"""Routers reach the same state about requests that crash servers.

A crash counts once, however many routers report it. Separate counts per router
would let six routers lose 18 servers, and a sum of the reported counts would
quarantine an innocent request that three routers report.
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

#: Delivery time of a report.
TRANSIT_S = 0.01
#: Bytes that a large number of crashes may add to one gossip message.
MAX_BYTES = 6000


def record_one_crash(table: CrashTable, server: str, now: float) -> None:
    crash = ServerCrash(server, 0, (Suspect('a', 0.2),), 'llm', 8)
    record_crash(table, crash, now)
    review_suspects(table, now)


def send_gossip(sender: CrashTable, receiver: CrashTable, now: float) -> None:
    sent_message = crash_gossip.build_crash_gossip(sender, now)
    if crash_gossip.apply_crash_gossip(receiver, sent_message, now + TRANSIT_S):
        review_suspects(receiver, now + TRANSIT_S)


def run_gossip_rounds(
    tables: list[CrashTable], now: float, rounds: int
) -> float:
    """Let each router send reports to three others in each round."""
    rng = random.Random(1)
    for _ in range(rounds):
        now += 0.2
        for sender in tables:
            for receiver in rng.sample(tables, min(3, len(tables))):
                send_gossip(sender, receiver, now)
    return now


def test_crashes_at_three_routers_quarantine_at_all_within_two_seconds() -> (
    None
):
    # Of the 3 s that are allowed, the last crash takes 1.5 s to decide.
    for count in (3, 8, 75, 195):
        tables = [CrashTable() for _ in range(count)]
        for index in range(3):
            record_one_crash(tables[index], f'server-{index}', 100 + index)
        now = run_gossip_rounds(tables, 102, 8)
        assert now < 102 + 2
        for table in tables:
            review_suspects(table, now)
        assert all('a' in table.quarantines for table in tables), count


def test_a_crash_that_many_routers_report_counts_once() -> None:
    tables = [CrashTable() for _ in range(6)]
    for table in tables:
        record_one_crash(table, 'server', 100)
    run_gossip_rounds(tables, 100, 4)
    assert {table.count_crashes('a') for table in tables} == {1}


def test_a_request_cleared_at_one_router_is_cleared_at_all() -> None:
    tables = [CrashTable() for _ in range(6)]
    for index in range(3):
        record_one_crash(tables[0], f'server-{index}', 100 + index)
    now = run_gossip_rounds(tables, 103, 4)
    clear_suspect(tables[5], 'a', now)
    review_suspects(tables[5], now)
    now = run_gossip_rounds(tables, now, 6)
    for table in tables:
        review_suspects(table, now)
    assert not any('a' in table.quarantines for table in tables)


def make_suspects(server: int) -> tuple[Suspect, ...]:
    names = (f'{server}-{index}'.rjust(24, 'x') for index in range(100))
    return tuple(Suspect(one, 0.2) for one in names)


def test_reports_of_many_crashes_are_bounded() -> None:
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
    assert records, 'no record to store'
    return records[0]


def test_stored_records_survive_a_loss_of_all_routers() -> None:
    before = CrashTable()
    for index in range(3):
        record_one_crash(before, f'server-{index}', 100 + index)
    review_suspects(before, 102 + DECISION_DELAY_S)
    after = CrashTable()
    apply_record(after, find_record(before), 7)
    review_suspects(after, 7)
    assert after.get_quarantine_left('a', 7) == QUARANTINE_S
    assert not list_unsaved_records(after)


def test_two_crashes_before_a_loss_and_one_after_it_quarantine() -> None:
    before = CrashTable()
    for index in range(2):
        record_one_crash(before, f'server-{index}', 100 + index)
    after = CrashTable()
    apply_record(after, find_record(before), 7)
    record_one_crash(after, 'server-2', 8)
    assert review_suspects(after, 8 + DECISION_DELAY_S) == ['a']


def test_a_crash_in_the_store_and_in_a_report_counts_once() -> None:
    before = CrashTable()
    for index in range(2):
        record_one_crash(before, f'server-{index}', 100 + index)
    record = find_record(before)
    table = CrashTable()
    apply_record(table, record, 102)
    send_gossip(before, table, 102)
    apply_record(table, record, 103)
    review_suspects(table, 103)
    assert table.count_crashes('a') == 2


def test_a_single_crash_is_not_stored() -> None:
    table = CrashTable()
    record_one_crash(table, 'server', 100)
    assert not list_unsaved_records(table)


def test_expired_records_are_removed_from_the_store() -> None:
    table = CrashTable()
    apply_record(table, CrashRecord('a', ('x', 'y'), 0), 100)
    review_suspects(table, 100)
    assert not list_stale_records(table)
    review_suspects(table, 103 + CRASH_RETENTION_S)
    assert list_stale_records(table) == ['a']


def crash_only_server(table: CrashTable, name: str, now: float) -> None:
    both = (Suspect('slow', 0.2), Suspect('crash', 0.1))
    record_crash(table, ServerCrash(name, 0, both, 'shop'), now)
    review_suspects(table, now)


def test_a_record_does_not_quarantine_a_co_suspect() -> None:
    # A service has one server, and a slow request always runs beside the
    # request that crashes it. While both are known as suspects, neither is
    # quarantined. If the stored record named only the slow request, that one
    # would be quarantined after the third crash, for 10 minutes, at all
    # routers.
    before = CrashTable()
    crash_only_server(before, 'server-0', 100)
    crash_only_server(before, 'server-1', 102)
    slow = [
        one for one in list_unsaved_records(before) if one.request == 'slow'
    ]
    after = CrashTable()
    apply_record(after, slow[0], 7)
    crash_only_server(after, 'server-2', 8)
    review_suspects(after, 8 + DECISION_DELAY_S)
    assert 'slow' not in after.quarantines


def test_records_that_share_servers_keep_the_longer_sequence() -> None:
    # If the older record of the slow request, read first, cut the longer
    # sequence of the crashing one to two crashes, the slow request alone would
    # have three.
    before = CrashTable()
    crash_only_server(before, 'server-0', 100)
    crash_only_server(before, 'server-1', 102)
    first = {one.request: one for one in list_unsaved_records(before)}
    crash_only_server(before, 'server-2', 104)
    crash = {one.request: one for one in list_unsaved_records(before)}['crash']
    after = CrashTable()
    apply_record(after, first['slow'], 7)
    apply_record(after, crash, 7)
    review_suspects(after, 7)
    assert after.count_crashes('crash') == 3
    assert after.count_crashes('slow') == 3
