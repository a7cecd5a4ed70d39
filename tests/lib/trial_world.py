"""Routers that all know of two crashes of the only server of a service."""

import itertools
from contextlib import ExitStack, suppress

from dykemast._internal.models.crashes import ServerCrash, Suspect
from dykemast._internal.operations.crash_evidence import record_crash
from dykemast._internal.operations.crash_review import review_suspects
from dykemast._internal.operations.request_identity import RequestIdentity
from dykemast._internal.serving.admission.quarantine import admit_request
from dykemast._internal.serving.requests.refusals import RefusedError
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import read_clock
from tests.lib import identities, serving_boards

SERVICE = 'llm'
ROUTERS = 5
LAST_CRASH_AGE_S = 2.0
CRASH_INTERVAL_S = 3.0
#: Run time of both requests before each crash.
RUN_TIME_S = 1.0
PAIR = (
    identities.make_identity(),
    identities.make_identity(target='/b'),
)

Requests = tuple[RequestIdentity, ...]


def record_crash_of(board: ServingBoard, age: float, present: Requests) -> None:
    """Record a crash of the only server."""
    names = [one.compute_digest() for one in present]
    suspects = tuple(Suspect(name, age + RUN_TIME_S) for name in names)
    crash = ServerCrash(f'server-{age}', age, suspects, SERVICE)
    record_crash(board.crashes, crash, read_clock())


def make_routers(
    ago: float = LAST_CRASH_AGE_S,
    crash_suspects: tuple[Requests, Requests] = (PAIR, PAIR),
) -> list[ServingBoard]:
    """Make routers that all know of two crashes with the given suspects."""
    boards = serving_boards.make_boards(ROUTERS)
    for board in boards:
        board.crashes.requested_at = read_clock()
        record_crash_of(board, ago + CRASH_INTERVAL_S, crash_suspects[0])
        record_crash_of(board, ago, crash_suspects[1])
        review_suspects(board.crashes, read_clock())
    return boards


def list_admitted(
    stack: ExitStack,
    boards: list[ServingBoard],
    requests: Requests = PAIR,
) -> list[str]:
    """Start every request that any router admits, until the stack closes."""
    admitted = []
    for board, identity in itertools.product(boards, requests):
        with suppress(RefusedError):
            stack.enter_context(admit_request(board, identity, SERVICE))
            admitted.append(identity.compute_digest())
    return admitted
