"""Response header fields of backend servers reach callers unchanged."""

from hypothesis import given
from hypothesis import strategies as st

from dykemast._internal.platform.answer_headers import decode_answer


@given(raw=st.binary())
def test_a_field_that_is_no_ascii_does_not_break_the_answer(raw) -> None:
    text = raw.decode('utf-8', 'surrogateescape')
    head = decode_answer(200, {'x-note': text})
    assert head.headers == [(b'x-note', raw)]
