"""Decoding of the backpressure fields in responses of backend servers."""

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
INVALID = ('', '-1', 'nan', 'inf', 'soon', 'Thu, 03 Dec 2026 08:00:00')


def decode_backpressure(status: int, **fields: str) -> Backpressure:
    return decode_answer(status, fields).backpressure


def test_a_response_without_fields_has_no_backpressure() -> None:
    assert decode_backpressure(OK) == Backpressure()


def test_limits_and_backoffs_may_be_fractions() -> None:
    backpressure = decode_backpressure(
        UNAVAILABLE, **{LIMIT: '1.75', REST: '0.25'}
    )
    assert backpressure == Backpressure(limit=1.75, rest=0.25)


def test_only_an_unavailable_server_sets_a_backoff() -> None:
    for status in (OK, 429, 500, 504):
        assert not decode_backpressure(status, **{REST: '3'}).rest, status


def test_only_the_value_one_means_leaving() -> None:
    assert decode_backpressure(OK, **{LEAVING: '1'}).leaving
    for text in ('0', '', 'no'):
        assert not decode_backpressure(OK, **{LEAVING: text}).leaving, text


def test_a_limit_of_zero_is_raised_to_the_minimum() -> None:
    assert decode_backpressure(OK, **{LIMIT: '0'}).limit == MIN_LIMIT_PER_S


def test_a_backoff_is_bounded() -> None:
    assert (
        decode_backpressure(UNAVAILABLE, **{REST: '1e9'}).rest == MAX_BACKOFF_S
    )


def test_invalid_fields_mean_no_backpressure() -> None:
    for text in INVALID:
        backpressure = decode_backpressure(
            UNAVAILABLE, **{LIMIT: text, REST: text}
        )
        assert backpressure == Backpressure(), text


@given(text=st.text())
def test_any_field_value_can_be_decoded(text) -> None:
    fields = {LIMIT: text, REST: text, LEAVING: text}
    backpressure = decode_backpressure(UNAVAILABLE, **fields)
    assert backpressure.limit is None or backpressure.limit >= MIN_LIMIT_PER_S
    assert 0 <= backpressure.rest <= MAX_BACKOFF_S
