"""What backend servers ask for in their answers, as it is read."""

from hypothesis import given
from hypothesis import strategies as st

from dykemast._internal.models.backend import Backpressure
from dykemast._internal.platform.answer_headers import (
    MAX_BACKOFF_S,
    MIN_LIMIT_PER_S,
    decode_answer,
)

LIMIT = 'server-limit'
LEAVING = 'server-leaving'
REST = 'retry-after'
OK = 200
UNAVAILABLE = 503
SENSELESS = ('', '-1', 'nan', 'inf', 'soon', 'Thu, 03 Dec 2026 08:00:00')


def read_asks(status: int, **fields: str) -> Backpressure:
    return decode_answer(status, fields).backpressure


def test_an_answer_that_asks_for_nothing_holds_nothing_back() -> None:
    assert read_asks(OK) == Backpressure()


def test_limits_and_rests_may_be_fractions() -> None:
    backpressure = read_asks(UNAVAILABLE, **{LIMIT: '1.75', REST: '0.25'})
    assert backpressure == Backpressure(limit=1.75, rest=0.25)


def test_only_a_server_that_turns_a_request_away_asks_for_rest() -> None:
    for status in (OK, 429, 500, 504):
        assert not read_asks(status, **{REST: '3'}).rest, status


def test_only_a_one_says_that_a_server_leaves() -> None:
    assert read_asks(OK, **{LEAVING: '1'}).leaving
    for text in ('0', '', 'no'):
        assert not read_asks(OK, **{LEAVING: text}).leaving, text


def test_a_limit_of_zero_still_lets_its_end_be_heard() -> None:
    assert read_asks(OK, **{LIMIT: '0'}).limit == MIN_LIMIT_PER_S


def test_no_server_is_left_alone_for_ever() -> None:
    assert read_asks(UNAVAILABLE, **{REST: '1e9'}).rest == MAX_BACKOFF_S


def test_what_makes_no_sense_asks_for_nothing() -> None:
    for text in SENSELESS:
        backpressure = read_asks(UNAVAILABLE, **{LIMIT: text, REST: text})
        assert backpressure == Backpressure(), text


@given(text=st.text())
def test_no_text_makes_an_answer_unreadable(text) -> None:
    fields = {LIMIT: text, REST: text, LEAVING: text}
    backpressure = read_asks(UNAVAILABLE, **fields)
    assert backpressure.limit is None or backpressure.limit >= MIN_LIMIT_PER_S
    assert 0 <= backpressure.rest <= MAX_BACKOFF_S
