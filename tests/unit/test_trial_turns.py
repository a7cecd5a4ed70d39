"""Requests that broke off at the same ends of the only server of a service.

Each router let one of each on at a time, so that all of them were at the server
whenever it ended, and no end told which of them it was.
"""

from contextlib import ExitStack

from dykemast._internal.models.backend import BackendServer
from dykemast._internal.models.crashes import Quarantine
from dykemast._internal.models.deployment import Endpoint
from dykemast._internal.operations.crash_evidence import clear_suspect
from dykemast._internal.operations.crash_gossip import apply_quarantine
from dykemast._internal.operations.crash_review import (
    QUARANTINE_S,
    review_suspects,
)
from dykemast._internal.serving.admission.trials import EXCLUSIVE_TRIAL_S
from dykemast._internal.utils.clock import read_clock
from tests.lib.trial_world import PAIR, ROUTERS, SERVICE, list_begun, make_all


def make_server(name: str) -> BackendServer:
    address = Endpoint('h', 1)
    return BackendServer(name, name, SERVICE, address, 'north', 8, False)


def test_two_that_are_not_told_apart_are_never_at_the_only_server() -> None:
    boards = make_all()
    for _ in range(2):
        with ExitStack() as stack:
            assert len(list_begun(stack, boards)) == 1


def test_once_one_has_come_to_its_end_all_may_go_on() -> None:
    boards = make_all()
    for board in boards:
        clear_suspect(board.crashes, PAIR[0].compute_digest(), read_clock())
        review_suspects(board.crashes, read_clock())
    with ExitStack() as stack:
        assert len(list_begun(stack, boards)) == len(PAIR) * ROUTERS


def test_each_router_lets_one_of_them_on_when_no_end_follows() -> None:
    boards = make_all(EXCLUSIVE_TRIAL_S + 1)
    with ExitStack() as stack:
        assert len(list_begun(stack, boards)) == ROUTERS


def test_both_may_go_on_where_each_can_have_a_server_of_its_own() -> None:
    boards = make_all()
    for board in boards:
        board.servers = {name: make_server(name) for name in 'abc'}
    with ExitStack() as stack:
        assert len(list_begun(stack, boards)) == len(PAIR) * ROUTERS


def test_servers_that_have_ended_are_of_no_use_to_them() -> None:
    boards = make_all()
    for board in boards:
        ended = board.crashes.crashes
        board.servers = {name: make_server(name) for name in ended}
    with ExitStack() as stack:
        assert len(list_begun(stack, boards)) == 1


def test_whoever_is_in_quarantine_explains_the_ends_of_the_other() -> None:
    boards = make_all()
    guilty = Quarantine(PAIR[0].compute_digest(), 0, QUARANTINE_S, 1)
    for board in boards:
        apply_quarantine(board.crashes, guilty, read_clock())
    with ExitStack() as stack:
        assert list_begun(stack, boards) == ROUTERS * [PAIR[1].compute_digest()]
