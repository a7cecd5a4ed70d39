"""An unexpected error ends a request with 500 and a log line.

The listener itself logs nothing, so without that line the response leaves no
trace.
"""

import asyncio
from types import SimpleNamespace
from typing import Any

import logbook

from dykemast._internal.serving.process.application import make_application
from dykemast._internal.serving.state.monitoring import make_metrics
from tests.lib.serving_boards import make_board

REQUEST = 'one'


async def fail_to_receive() -> Any:
    raise KeyError('no such thing')


async def send_nothing(_: Any) -> None:
    """Accept messages and ignore them."""


async def serve_request() -> None:
    parts: Any = SimpleNamespace(board=make_board(), metrics=make_metrics())
    application = make_application(parts)
    scope = {'headers': [(b'x-attempt-id', REQUEST.encode())]}
    try:
        await application(scope, fail_to_receive, send_nothing)
    except KeyError:
        return
    raise AssertionError('the error did not reach the listener')


def test_an_unexpected_error_is_logged_with_the_id_of_its_request() -> None:
    with logbook.TestHandler() as lines:
        asyncio.run(serve_request())
        logged = [(one.message, one.extra) for one in lines.records]
    assert [message for message, _ in logged] == ['failed']
    extra = logged[0][1]
    assert extra['request'] == REQUEST
    assert extra['reason'].startswith('KeyError')
    assert extra['calls'][-1].startswith('fail_to_receive')
