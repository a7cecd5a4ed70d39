"""Routers that all know of two ends of the only server of a service."""

import itertools
from contextlib import ExitStack, suppress

from dykemast._internal.models.crashes import ServerCrash, Suspect
from dykemast._internal.operations.crash_evidence import note_crash
from dykemast._internal.operations.crash_review import review
from dykemast._internal.serving.admission.quarantine import pass_gate
from dykemast._internal.serving.requests.refusals import RefusedError
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import read_clock
from tests.lib.identities import make_identity
from tests.lib.serving_boards import make_boards

SERVICE = 'llm'
ROUTERS = 5
#: Seconds since the last end, and between two.
AGO = 2.0
PAUSE = 3.0
#: Seconds for which both had been under way.
RUN_TIME = 1.0
PAIR = (make_identity(), make_identity(target='/b'))


def note_ends(board: ServingBoard, ago: float) -> None:
    """Note two ends of the only server, each with both under way."""
    now = read_clock()
    names = [one.read() for one in PAIR]
    for age in (ago + PAUSE, ago):
        suspects = tuple(Suspect(name, age + RUN_TIME) for name in names)
        crash = ServerCrash(f'server-{age}', age, suspects, SERVICE)
        note_crash(board.crashes, crash, now)
    review(board.crashes, now)


def make_all(ago: float = AGO) -> list[ServingBoard]:
    """Make routers that all know of both ends."""
    boards = make_boards(ROUTERS)
    for board in boards:
        board.crashes.asked_at = read_clock()
        note_ends(board, ago)
    return boards


def list_begun(stack: ExitStack, boards: list[ServingBoard]) -> list[str]:
    """Begin what is let on anywhere, until the stack is closed."""
    begun = []
    for board, identity in itertools.product(boards, PAIR):
        with suppress(RefusedError):
            stack.enter_context(pass_gate(board, identity, SERVICE))
            begun.append(identity.read())
    return begun
