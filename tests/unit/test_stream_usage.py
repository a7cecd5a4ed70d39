"""Tokens that a streamed answer has consumed, and may consume."""

from hypothesis import given
from hypothesis import strategies as st

from dykemast._internal.operations.stream_usage import StreamUsage

PROMPT, OUTPUT, PER_EVENT = 1000, 300, 3
#: Events that the most tokens to come out make.
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
    # Two events were charged beyond the ten that had been read.
    usage = make_usage()
    usage.record_read(10)
    usage.record_broken_stream()
    assert usage.count_used_tokens() == PROMPT + OUTPUT


@given(st.lists(st.integers(0, MOST_EVENTS), max_size=4))
def test_no_engine_makes_more_than_is_held_and_charged(
    breaks: list[int],
) -> None:
    # Each engine begins after the last event that was read, and may go on to
    # the end of the answer although the router reads no more of it.
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
