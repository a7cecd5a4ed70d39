"""Which requests are condemned for the ends of servers, and which never.

In a play of a dozen ends within 14 s one request was behind all of them. An
innocent one of the same workspace ran on three of the same servers, for 0.05,
9.4 and 1.8 s, and a count of ends alone would have condemned it, too.
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
#: Seconds from a send to the end of its server, and between two ends.
RUN_TIME = 0.2
PAUSE = 1.0
#: An end at which one request alone had just begun.
ALONE = ('a',)
TOGETHER = ('a', 'b')
THRICE = (ALONE, ALONE, ALONE)


def note_ends(
    table: CrashTable,
    ends: Sequence[tuple[str, ...]],
    since: float = 100,
) -> float:
    """Note servers that end one after another; tell when all is settled."""
    now = since
    for place, requests in enumerate(ends):
        now += PAUSE
        suspects = tuple(Suspect(one, RUN_TIME) for one in requests)
        name = f'server-{since}-{place}'
        record_crash(table, ServerCrash(name, 0, suspects, SERVICE, 8), now)
        review_suspects(table, now)
    return now + DECISION_DELAY_S


def test_three_ends_one_after_another_condemn_once_all_is_known() -> None:
    table = CrashTable()
    settled = note_ends(table, (ALONE, ALONE, ALONE))
    assert not table.quarantines, 'what else ended then is not known yet'
    assert review_suspects(table, settled) == ['a']
    assert table.get_quarantine_left('a', settled) == QUARANTINE_S


def test_two_ends_condemn_nobody() -> None:
    table = CrashTable()
    review_suspects(table, note_ends(table, (ALONE, ALONE)))
    assert not table.quarantines


def test_who_was_with_the_guilty_one_each_time_but_once_goes_free() -> None:
    table = CrashTable()
    ends = (TOGETHER, TOGETHER, TOGETHER, ALONE)
    assert review_suspects(table, note_ends(table, ends)) == ['a']


def test_two_that_were_together_each_time_are_told_apart_first() -> None:
    table = CrashTable()
    settled = note_ends(table, 3 * [TOGETHER])
    assert not review_suspects(table, settled)


def test_two_guilty_ones_that_met_once_are_both_condemned() -> None:
    table = CrashTable()
    ends = (ALONE, ('b',), ('a', 'b'), ALONE, ('b',))
    review_suspects(table, note_ends(table, ends))
    assert set(table.quarantines) == {'a', 'b'}


def test_a_run_that_comes_to_its_end_clears() -> None:
    table = CrashTable()
    settled = note_ends(table, 2 * [ALONE])
    assert clear_suspect(table, 'a', settled)
    settled = note_ends(table, [ALONE], settled)
    assert not review_suspects(table, settled)
    assert table.count_crashes('a') == 1


def test_a_run_that_comes_to_its_end_ends_a_quarantine() -> None:
    table = CrashTable()
    settled = note_ends(table, THRICE)
    review_suspects(table, settled)
    clear_suspect(table, 'a', settled + 1)
    review_suspects(table, settled + 1)
    assert table.get_quarantine_left('a', settled + 1) is None


def test_an_end_counts_no_more_when_its_server_answers() -> None:
    table = CrashTable()
    settled = note_ends(table, THRICE)
    assert refute_crash(table, 'server-100-1')
    assert not review_suspects(table, settled)


def end_server(table: CrashTable, name: str, others: int, now: float) -> None:
    """Note a server that ended, to which a request was sent 0.1 s before."""
    suspects = (Suspect('a', 0.1),)
    record_crash(table, ServerCrash(name, 0, suspects, SERVICE, others), now)


def test_ends_at_one_moment_count_once() -> None:
    table = CrashTable()
    for name in 'abcd':
        end_server(table, name, 8, 100)
    review_suspects(table, 102)
    assert table.count_crashes('a') == 1


def test_a_loss_of_all_servers_counts_for_nobody() -> None:
    table = CrashTable()
    for now in range(100, 150, 10):
        for name in 'abc':
            end_server(table, f'{now}-{name}', 2, now)
        assert not review_suspects(table, now + DECISION_DELAY_S)
    assert not table.count_crashes('a')


def test_a_loss_counts_for_nobody_where_one_server_had_refused_before() -> None:
    # A server that is listed before it listens refuses, and counts as ended.
    table = CrashTable()
    for now in range(100, 150, 10):
        idle = ServerCrash(f'{now}-idle', 0, (), SERVICE, 1)
        record_crash(table, idle, now - 0.4)
        end_server(table, f'{now}-busy', 1, now)
        assert not review_suspects(table, now + DECISION_DELAY_S)
    assert not table.count_crashes('a')


def test_broken_sends_tell_when_a_server_ended_that_had_refused() -> None:
    table = CrashTable()
    record_crash(table, ServerCrash('first', 0, (), SERVICE, 1), 99.5)
    end_server(table, 'first', 1, 100)
    end_server(table, 'second', 1, 100)
    assert table.crashes['first'].ended_at == 100
    record_crash(table, ServerCrash('first', 0, (), SERVICE, 1), 101)
    assert table.crashes['first'].ended_at == 100


def test_the_first_of_several_sends_to_a_server_counts() -> None:
    # A loss of several servers, in which one send had just been repeated.
    table = CrashTable()
    end_server(table, 'first', 8, 100)
    sends = (Suspect('a', 0.02), Suspect('a', 0.4))
    record_crash(table, ServerCrash('second', 0, sends, SERVICE, 8), 100.1)
    review_suspects(table, 102)
    assert table.count_crashes('a') == 1


def test_a_request_that_ends_all_three_servers_in_turn_is_condemned() -> None:
    # Within a second, as one try and its repeat do; the service is small.
    table = CrashTable()
    for place in range(3):
        end_server(table, str(place), 2, 100 + 0.3 * place)
    assert review_suspects(table, 103) == ['a']


def test_the_first_end_after_a_quarantine_condemns_for_twice_as_long() -> None:
    table = CrashTable()
    settled = note_ends(table, THRICE)
    review_suspects(table, settled)
    later = settled + QUARANTINE_S + 1
    review_suspects(table, later)
    assert table.get_quarantine_left('a', later) == 0
    settled = note_ends(table, [ALONE], later)
    assert review_suspects(table, settled) == ['a']
    assert table.get_quarantine_left('a', settled) == 2 * QUARANTINE_S


def make_broken(event_at: float | None) -> BrokenSend:
    return BrokenSend('server', 'a', 100, event_at, 110)


def test_who_had_brought_events_for_a_while_did_not_end_the_server() -> None:
    assert make_broken(None).had_just_begun()
    assert make_broken(109.5).had_just_begun()
    assert not make_broken(101).had_just_begun()


def test_days_of_dying_servers_condemn_nobody() -> None:
    # Nine servers, of which one ends each two seconds or oftener, and a
    # question that a fifth of all callers ask: no one is condemned.
    for seed in range(4):
        for deaths in (0.5, 2):
            day = CrashDay(Day(seed, deaths=deaths)).play()
            assert not day.condemned, (seed, deaths)


def test_losses_of_all_servers_in_series_condemn_nobody() -> None:
    for seed in range(6):
        day = CrashDay(Day(seed, hot=0.5, losses=4)).play()
        assert not day.condemned, seed


def test_a_guilty_one_is_condemned_soon_and_nobody_else() -> None:
    for seed in range(6):
        for deaths in (0, 0.5):
            day = CrashDay(Day(seed, deaths=deaths, guilty=1.2)).play()
            assert day.condemned == {GUILTY}, (seed, deaths, day.condemned)
            assert day.guilty_ends <= 6, (seed, deaths)


ENDS = st.lists(
    st.lists(st.sampled_from('abc'), min_size=1, unique=True).map(tuple),
    max_size=8,
)


@given(ENDS)
def test_nobody_is_condemned_for_fewer_than_three_ends(
    ends: list[tuple[str, ...]],
) -> None:
    table = CrashTable()
    review_suspects(table, note_ends(table, ends))
    for request in table.quarantines:
        assert sum(request in present for present in ends) >= 3
