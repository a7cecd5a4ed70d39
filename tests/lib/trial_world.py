"""Routers that all know of two ends of the only server of a service."""

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
#: Seconds since the last end, and between two.
AGO = 2.0
PAUSE = 3.0
#: Seconds for which both had been under way.
RUN_TIME = 1.0
PAIR = (
    identities.make_identity(),
    identities.make_identity(target='/b'),
)

Requests = tuple[RequestIdentity, ...]


def note_end(board: ServingBoard, age: float, present: Requests) -> None:
    """Note an end of the only server."""
    names = [one.compute_digest() for one in present]
    suspects = tuple(Suspect(name, age + RUN_TIME) for name in names)
    crash = ServerCrash(f'server-{age}', age, suspects, SERVICE)
    record_crash(board.crashes, crash, read_clock())


def make_all(
    ago: float = AGO, ends: tuple[Requests, Requests] = (PAIR, PAIR)
) -> list[ServingBoard]:
    """Make routers that all know of two ends, by who was there."""
    boards = serving_boards.make_boards(ROUTERS)
    for board in boards:
        board.crashes.asked_at = read_clock()
        note_end(board, ago + PAUSE, ends[0])
        note_end(board, ago, ends[1])
        review_suspects(board.crashes, read_clock())
    return boards


def list_begun(
    stack: ExitStack,
    boards: list[ServingBoard],
    requests: Requests = PAIR,
) -> list[str]:
    """Begin what is let on anywhere, until the stack is closed."""
    begun = []
    for board, identity in itertools.product(boards, requests):
        with suppress(RefusedError):
            stack.enter_context(admit_request(board, identity, SERVICE))
            begun.append(identity.compute_digest())
    return begun
