"""Suspects of the same crashes of the only server of a service.

If each router admits one of each at a time, all suspects are on the server at
every crash, and no crash shows which of them caused it.
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
from tests.lib.trial_world import (
    PAIR,
    ROUTERS,
    SERVICE,
    list_admitted,
    make_routers,
)


def make_server(name: str) -> BackendServer:
    address = Endpoint('h', 1)
    return BackendServer(name, name, SERVICE, address, 'north', 8, False)


def test_two_suspects_of_the_same_crashes_never_share_the_only_server() -> None:
    boards = make_routers()
    for _ in range(2):
        with ExitStack() as stack:
            assert len(list_admitted(stack, boards)) == 1


def test_after_one_suspect_is_cleared_all_may_run() -> None:
    boards = make_routers()
    for board in boards:
        clear_suspect(board.crashes, PAIR[0].compute_digest(), read_clock())
        review_suspects(board.crashes, read_clock())
    with ExitStack() as stack:
        assert len(list_admitted(stack, boards)) == len(PAIR) * ROUTERS


def test_each_router_admits_one_suspect_when_no_crash_follows() -> None:
    boards = make_routers(EXCLUSIVE_TRIAL_S + 1)
    with ExitStack() as stack:
        assert len(list_admitted(stack, boards)) == ROUTERS


def test_both_may_run_when_each_can_have_its_own_server() -> None:
    boards = make_routers()
    for board in boards:
        board.servers = {name: make_server(name) for name in 'abc'}
    with ExitStack() as stack:
        assert len(list_admitted(stack, boards)) == len(PAIR) * ROUTERS


def test_crashed_servers_do_not_count_as_available() -> None:
    boards = make_routers()
    for board in boards:
        ended = board.crashes.crashes
        board.servers = {name: make_server(name) for name in ended}
    with ExitStack() as stack:
        assert len(list_admitted(stack, boards)) == 1


def test_a_quarantined_request_explains_the_crashes_of_a_rival() -> None:
    boards = make_routers()
    quarantine = Quarantine(PAIR[0].compute_digest(), 0, QUARANTINE_S, 1)
    for board in boards:
        apply_quarantine(board.crashes, quarantine, read_clock())
    with ExitStack() as stack:
        assert list_admitted(stack, boards) == ROUTERS * [
            PAIR[1].compute_digest()
        ]
