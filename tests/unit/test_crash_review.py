"""Quarantine decisions after server crashes.

In one incident a single request caused a dozen crashes within 14 s. An innocent
request of the same workspace ran on three of the same servers, for 0.05, 9.4
and 1.8 s. A plain count of crashes would have quarantined it too.
"""

from collections.abc import Sequence

from hypothesis import given
from hypothesis import strategies as st

from dykemast._internal.models.crashes import ServerCrash, Suspect
from dykemast._internal.operations.broken_sends import BrokenSend
from dykemast._internal.operations.crash_evidence import (
    clear_suspect,
    record_crash,
    refute_crash,
)
from dykemast._internal.operations.crash_review import (
    QUARANTINE_S,
    DECISION_DELAY_S,
    review_suspects,
)
from dykemast._internal.operations.crash_table import CrashTable
from tests.lib.crash_days import GUILTY, CrashDay, Day

SERVICE = 'llm'
#: Time from a send to the crash of its server, and between two crashes.
RUN_TIME_S = 0.2
CRASH_INTERVAL_S = 1.0
#: A crash with a single suspect.
ONE_SUSPECT = ('a',)
TWO_SUSPECTS = ('a', 'b')
THREE_CRASHES = (ONE_SUSPECT, ONE_SUSPECT, ONE_SUSPECT)


def record_crashes(
    table: CrashTable,
    crash_suspects: Sequence[tuple[str, ...]],
    since: float = 100,
) -> float:
    """Record crashes in sequence; return the time of the decision."""
    now = since
    for index, requests in enumerate(crash_suspects):
        now += CRASH_INTERVAL_S
        suspects = tuple(Suspect(one, RUN_TIME_S) for one in requests)
        name = f'server-{since}-{index}'
        record_crash(table, ServerCrash(name, 0, suspects, SERVICE, 8), now)
        review_suspects(table, now)
    return now + DECISION_DELAY_S


def test_three_crashes_in_sequence_quarantine_after_the_decision_delay() -> (
    None
):
    table = CrashTable()
    decided_at = record_crashes(table, (ONE_SUSPECT, ONE_SUSPECT, ONE_SUSPECT))
    assert not table.quarantines, 'decided before the decision delay'
    assert review_suspects(table, decided_at) == ['a']
    assert table.get_quarantine_left('a', decided_at) == QUARANTINE_S


def test_two_crashes_quarantine_nobody() -> None:
    table = CrashTable()
    review_suspects(table, record_crashes(table, (ONE_SUSPECT, ONE_SUSPECT)))
    assert not table.quarantines


def test_a_co_suspect_of_all_crashes_but_one_is_not_quarantined() -> None:
    table = CrashTable()
    crash_suspects = (TWO_SUSPECTS, TWO_SUSPECTS, TWO_SUSPECTS, ONE_SUSPECT)
    assert review_suspects(table, record_crashes(table, crash_suspects)) == [
        'a'
    ]


def test_two_suspects_of_the_same_crashes_are_not_quarantined() -> None:
    table = CrashTable()
    decided_at = record_crashes(table, 3 * [TWO_SUSPECTS])
    assert not review_suspects(table, decided_at)


def test_two_crashing_requests_that_shared_a_server_are_quarantined() -> None:
    table = CrashTable()
    crash_suspects = (ONE_SUSPECT, ('b',), ('a', 'b'), ONE_SUSPECT, ('b',))
    review_suspects(table, record_crashes(table, crash_suspects))
    assert set(table.quarantines) == {'a', 'b'}


def test_a_completed_run_clears() -> None:
    table = CrashTable()
    decided_at = record_crashes(table, 2 * [ONE_SUSPECT])
    assert clear_suspect(table, 'a', decided_at)
    decided_at = record_crashes(table, [ONE_SUSPECT], decided_at)
    assert not review_suspects(table, decided_at)
    assert table.count_crashes('a') == 1


def test_a_completed_run_ends_a_quarantine() -> None:
    table = CrashTable()
    decided_at = record_crashes(table, THREE_CRASHES)
    review_suspects(table, decided_at)
    clear_suspect(table, 'a', decided_at + 1)
    review_suspects(table, decided_at + 1)
    assert table.get_quarantine_left('a', decided_at + 1) is None


def test_a_refuted_crash_does_not_count() -> None:
    table = CrashTable()
    decided_at = record_crashes(table, THREE_CRASHES)
    assert refute_crash(table, 'server-100-1')
    assert not review_suspects(table, decided_at)


def record_single_suspect(
    table: CrashTable, name: str, others: int, now: float
) -> None:
    """Record the crash of a server that was sent a request 0.1 s before."""
    suspects = (Suspect('a', 0.1),)
    record_crash(table, ServerCrash(name, 0, suspects, SERVICE, others), now)


def test_simultaneous_crashes_count_once() -> None:
    table = CrashTable()
    for name in 'abcd':
        record_single_suspect(table, name, 8, 100)
    review_suspects(table, 102)
    assert table.count_crashes('a') == 1


def test_a_loss_of_all_servers_counts_for_no_request() -> None:
    table = CrashTable()
    for now in range(100, 150, 10):
        for name in 'abc':
            record_single_suspect(table, f'{now}-{name}', 2, now)
        assert not review_suspects(table, now + DECISION_DELAY_S)
    assert not table.count_crashes('a')


def test_a_loss_counts_for_no_request_when_one_server_refused_before() -> None:
    # A server that is listed before it listens refuses connections and counts
    # as crashed.
    table = CrashTable()
    for now in range(100, 150, 10):
        idle = ServerCrash(f'{now}-idle', 0, (), SERVICE, 1)
        record_crash(table, idle, now - 0.4)
        record_single_suspect(table, f'{now}-busy', 1, now)
        assert not review_suspects(table, now + DECISION_DELAY_S)
    assert not table.count_crashes('a')


def test_broken_sends_set_the_time_of_a_crash_known_from_a_refusal() -> None:
    table = CrashTable()
    record_crash(table, ServerCrash('first', 0, (), SERVICE, 1), 99.5)
    record_single_suspect(table, 'first', 1, 100)
    record_single_suspect(table, 'second', 1, 100)
    assert table.crashes['first'].ended_at == 100
    record_crash(table, ServerCrash('first', 0, (), SERVICE, 1), 101)
    assert table.crashes['first'].ended_at == 100


def test_the_first_of_several_sends_to_a_server_counts() -> None:
    # Several servers are lost just after one send was retried.
    table = CrashTable()
    record_single_suspect(table, 'first', 8, 100)
    sends = (Suspect('a', 0.02), Suspect('a', 0.4))
    record_crash(table, ServerCrash('second', 0, sends, SERVICE, 8), 100.1)
    review_suspects(table, 102)
    assert table.count_crashes('a') == 1


def test_a_request_that_crashes_all_three_servers_is_quarantined() -> None:
    # All crashes happen within a second, as with a send and its retries in a
    # small service.
    table = CrashTable()
    for index in range(3):
        record_single_suspect(table, str(index), 2, 100 + 0.3 * index)
    assert review_suspects(table, 103) == ['a']


def test_the_first_crash_after_a_quarantine_doubles_it() -> None:
    table = CrashTable()
    decided_at = record_crashes(table, THREE_CRASHES)
    review_suspects(table, decided_at)
    later = decided_at + QUARANTINE_S + 1
    review_suspects(table, later)
    assert table.get_quarantine_left('a', later) == 0
    decided_at = record_crashes(table, [ONE_SUSPECT], later)
    assert review_suspects(table, decided_at) == ['a']
    assert table.get_quarantine_left('a', decided_at) == 2 * QUARANTINE_S


def make_broken(event_at: float | None) -> BrokenSend:
    return BrokenSend('server', 'a', 100, event_at, 110)


def test_a_request_that_streamed_for_a_while_is_not_a_suspect() -> None:
    assert make_broken(None).had_just_started()
    assert make_broken(109.5).had_just_started()
    assert not make_broken(101).had_just_started()


def test_random_crashes_quarantine_nobody() -> None:
    # One of nine servers crashes every two seconds or more often, and a fifth
    # of all requests are identical: none of them is quarantined.
    for seed in range(4):
        for deaths in (0.5, 2):
            day = CrashDay(Day(seed, deaths=deaths)).play()
            assert not day.condemned, (seed, deaths)


def test_repeated_losses_of_all_servers_quarantine_nobody() -> None:
    for seed in range(6):
        day = CrashDay(Day(seed, hot=0.5, losses=4)).play()
        assert not day.condemned, seed


def test_only_the_crashing_request_is_quarantined() -> None:
    for seed in range(6):
        for deaths in (0, 0.5):
            day = CrashDay(Day(seed, deaths=deaths, guilty=1.2)).play()
            assert day.condemned == {GUILTY}, (seed, deaths, day.condemned)
            assert day.guilty_ends <= 6, (seed, deaths)


CRASHES = st.lists(
    st.lists(st.sampled_from('abc'), min_size=1, unique=True).map(tuple),
    max_size=8,
)


@given(CRASHES)
def test_fewer_than_three_crashes_quarantine_nobody(
    crash_suspects: list[tuple[str, ...]],
) -> None:
    table = CrashTable()
    review_suspects(table, record_crashes(table, crash_suspects))
    for request in table.quarantines:
        assert sum(request in present for present in crash_suspects) >= 3
