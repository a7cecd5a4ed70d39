"""Shares of routers in the slots of a brittle server."""

from hypothesis import given
from hypothesis import strategies as st

from dykemast._internal.models.backend import BackendServer
from dykemast._internal.operations.backpressure_state import BrittleServers
from dykemast._internal.operations.shared_rate_limiter import SharedRateLimiter
from tests.lib.serving_boards import make_endpoint


def make_server(name: str) -> BackendServer:
    return BackendServer(
        name, name, 'shop', make_endpoint(9), 'north', 6, leaving=False
    )


@given(st.integers(1, 90), st.integers(1, 40))
def test_the_shares_of_all_routers_add_up_to_the_slots(
    routers: int, slots: int
) -> None:
    names = frozenset(f'node-{number}' for number in range(routers))
    shares = [
        SharedRateLimiter(name, 0).count_share('i-1', names, slots)
        for name in names
    ]
    assert sum(shares) == slots
    assert max(shares) - min(shares) <= 1


def test_a_server_that_has_not_responded_is_as_brittle_as_the_others() -> None:
    servers = BrittleServers()
    known, unknown = make_server('i-1'), make_server('i-2')
    assert not servers.is_brittle(unknown)
    servers.record(known, brittle=True)
    assert servers.is_brittle(known)
    assert servers.is_brittle(unknown)
    servers.record(known, brittle=False)
    assert not servers.is_brittle(known)
    assert not servers.is_brittle(unknown)


def test_brittle_servers_that_are_gone_are_forgotten() -> None:
    servers = BrittleServers()
    servers.record(make_server('i-1'), brittle=True)
    servers.record_rejection('i-1', 0)
    assert servers.has_rejected('i-1', 1)
    servers.keep_only(('i-2',))
    assert not servers.is_brittle(make_server('i-2'))
    assert not servers.has_rejected('i-1', 1)
