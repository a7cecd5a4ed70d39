"""Rate limits of servers, as stored and exchanged by routers."""

from dykemast._internal.operations.server_limits import NO_LIMIT, ServerLimits

SERVER = 'i-1/7'


def test_the_newest_response_of_any_router_counts() -> None:
    limits, peer = ServerLimits(), ServerLimits()
    limits.record(SERVER, 2, 1)
    peer.record(SERVER, 3, 2)
    peer.record(SERVER, NO_LIMIT, 4)
    limits.merge(peer.export(5), 5)
    assert limits.find(SERVER) is None
    limits.record(SERVER, 1.5, 6)
    limits.merge(peer.export(7), 7)
    assert limits.find(SERVER).rate == 3 / 2


def test_limits_of_unlisted_servers_are_dropped_after_a_while() -> None:
    limits = ServerLimits()
    limits.record(SERVER, 2, 0)
    limits.keep_only((), 30)
    assert limits.find(SERVER)
    limits.keep_only((), 90)
    assert not limits.find(SERVER)


def test_responses_without_a_limit_store_nothing() -> None:
    limits = ServerLimits()
    limits.record(SERVER, NO_LIMIT, 1)
    assert not limits.export(1)
