"""Tokens that a streamed response has consumed and may consume."""

from hypothesis import given
from hypothesis import strategies as st

from dykemast._internal.operations.stream_usage import StreamUsage

PROMPT, OUTPUT, PER_EVENT = 1000, 300, 3
#: Events of a response with the maximum of output tokens.
MOST_EVENTS = OUTPUT // PER_EVENT


def make_usage() -> StreamUsage:
    return StreamUsage(PROMPT, OUTPUT, PER_EVENT)


def test_a_whole_answer_is_charged_as_it_came() -> None:
    usage = make_usage()
    assert not usage.count_used_tokens()
    usage.record_start()
    usage.record_read(40)
    assert usage.count_used_tokens() == PROMPT + 120
    assert usage.count_max_tokens() == PROMPT + OUTPUT


def test_what_an_engine_makes_unseen_is_charged() -> None:
    # Only two events beyond the ten received were charged.
    usage = make_usage()
    usage.record_read(10)
    usage.record_broken_stream()
    assert usage.count_used_tokens() == PROMPT + OUTPUT


@given(st.lists(st.integers(0, MOST_EVENTS), max_size=4))
def test_no_engine_makes_more_than_is_held_and_charged(
    breaks: list[int],
) -> None:
    # Each backend server starts after the last event received, and may
    # generate the whole rest although the router receives no more of it.
    usage = make_usage()
    made = 0
    read = 0
    for events in sorted(breaks):
        made += OUTPUT - read * PER_EVENT
        assert PROMPT + made <= usage.count_max_tokens()
        read = events
        usage.record_read(read)
        usage.record_broken_stream()
    if breaks:
        assert PROMPT + made <= usage.count_used_tokens()
