"""Processor time of the choice of an engine.

Estimating the pause risk of each engine adds up the counts of all routers. It
is skipped for prompts that cannot delay streams.
"""

from dykemast._internal.models.backend import BackendServer
from dykemast._internal.models.routing_table import Route, RouteKind, Share
from dykemast._internal.models.services import Engine, Service
from dykemast._internal.operations.engine_pauses import EnginePauses
from dykemast._internal.platform.request_headers import decode_request
from dykemast._internal.serving.choice.choices import choose_server
from dykemast._internal.serving.knowledge.backends import add_server
from dykemast._internal.serving.parts import make_parts
from dykemast._internal.serving.requests.admitted_request import AdmittedRequest
from dykemast._internal.serving.state.loads import make_loads
from dykemast._internal.utils.clock import read_clock
from tests.lib.serving_boards import make_board, make_endpoint

ENGINES = 45
SERVICE = Service('llm', 780, Engine(48, 448_000, 8))
SHARES = (Share('llm', 1),)
ROUTE = Route(
    'r', 'h', '/', RouteKind.stream, SHARES, 15, 1, 0.5, 0, 2, False, True
)


class CountedPauses(EnginePauses):
    """Counts the calls of ``estimate_risk``."""

    def __init__(self) -> None:
        super().__init__()
        self.calls = 0

    def estimate_risk(self, engine: str, now: float) -> float:
        self.calls += 1
        return super().estimate_risk(engine, now)


def make_ticket(tokens: int) -> AdmittedRequest:
    scope = {
        'method': 'POST',
        'path': '/',
        'raw_path': b'/',
        'query_string': b'',
        'headers': [
            (b'host', b'h'),
            (b'x-attempt-id', b'a'),
            (b'x-token-usage', b'%d,100' % tokens),
            (b'x-prefix-hash', b'aa:%d' % tokens),
        ],
    }
    now = read_clock()
    return AdmittedRequest(
        decode_request(scope), ROUTE, SERVICE, None, now, now + 15, 1
    )


def make_engine(number: int) -> BackendServer:
    name = f'engine-{number}'
    return BackendServer(
        name, name, 'llm', make_endpoint(number + 1), 'x', 48, False
    )


def count_calls(tokens: int) -> int:
    pauses = CountedPauses()
    board = make_board()
    for number in range(ENGINES):
        add_server(board, make_engine(number))
    parts = make_parts(
        board, None, make_loads()._replace(pauses=pauses), None, None
    )
    assert choose_server(parts, make_ticket(tokens), [])
    return pauses.calls


def test_pauses_are_added_up_only_where_a_prompt_may_make_streams_late() -> (
    None
):
    # With 8 tokens per event, seven chunks of 2,048 tokens delay no event.
    assert count_calls(tokens=6610) == 0
    assert count_calls(tokens=15_000) == ENGINES
