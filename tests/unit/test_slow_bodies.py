"""The time that a body takes to arrive is part of its caller's time."""

import asyncio
from types import SimpleNamespace
from typing import Any

import logbook

from dykemast._internal.platform.store_types import StoreObject
from dykemast._internal.serving.knowledge.configuration import (
    apply_configuration,
)
from dykemast._internal.serving.process.application import make_application
from dykemast._internal.serving.state.monitoring import make_metrics
from tests.lib.serving_boards import make_board, mark_all_read
from tests.lib.users_objects import HOST, KEY, make_configuration

#: Seconds that the body takes.
BODY_S = 0.3


async def receive_late() -> Any:
    await asyncio.sleep(BODY_S)
    return {'type': 'http.request', 'body': b''}


async def send_nothing(_: Any) -> None:
    """Accept messages and ignore them."""


def make_scope(deadline_s: float) -> dict[str, Any]:
    """Make the head of a request to a route."""
    fields = {
        'host': HOST,
        'x-attempt-id': 'one',
        'authorization': f'Token {KEY}',
        'x-deadline-ms': str(round(deadline_s * 1000)),
    }
    return {
        'method': 'POST',
        'path': '/price/one',
        'raw_path': b'/price/one',
        'query_string': b'',
        'headers': [
            (name.encode(), text.encode()) for name, text in fields.items()
        ],
    }


async def serve_request(deadline_s: float) -> None:
    board = make_board()
    mark_all_read(board)
    configuration = StoreObject('main', 9, make_configuration())
    apply_configuration(board, configuration, 'store')
    parts: Any = SimpleNamespace(
        board=board, metrics=make_metrics(), origins=None
    )
    scope = make_scope(deadline_s)
    await make_application(parts)(scope, receive_late, send_nothing)


def serve(deadline_s: float) -> dict[str, Any]:
    """Serve a request; returns the fields of its log lines by event."""
    with logbook.TestHandler() as lines:
        asyncio.run(serve_request(deadline_s))
        return {one.message: one.extra for one in lines.records}


def test_the_time_of_a_body_does_not_extend_the_deadline() -> None:
    assert serve(10)['admitted']['left_s'] <= 10 - BODY_S


def test_a_request_whose_body_came_after_its_deadline_is_not_admitted() -> None:
    logged = serve(BODY_S / 2)
    assert 'admitted' not in logged
    assert logged['refused']['code'] == 'too_late'
