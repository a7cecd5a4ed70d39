"""The platform unavailable, slow, or without a response to applied writes."""

import json

from tests.lib.caller import ask_chat, ask_service
from tests.lib.fixtures import (
    ask_caller_api,
    count_bills,
    count_calls,
    make_fleet,
    wait_until,
)
from tools.fleet import Fleet, call_admin, control, top_up


def ask_whole(fleet: Fleet, key: str) -> None:
    router = int(key[-1]) % 3
    answer = ask_chat(fleet, router, 'hi stop=3', key=key)
    assert answer.status == 200, answer.text


def test_work_goes_on_while_the_platform_is_away() -> None:
    fleet = make_fleet()
    keys = [f'out{number}' for number in range(9)]
    for warm in (0, 1, 2) * 3:
        ask_chat(fleet, warm, 'hi stop=3')
    control(fleet.layout.platform_port, away=True)
    for key in keys:
        ask_whole(fleet, key)
    # Bills that only memory holds survive a crash of their router.
    fleet.running['router-0'].kill()
    control(fleet.layout.platform_port, away=False)
    assert wait_until(lambda: count_bills(fleet, keys) == {1})


def test_an_order_is_refused_at_once_in_an_outage() -> None:
    fleet = make_fleet()
    # The lease has available tokens, so that only the claim is missing.
    for number in range(3):
        ask_service(fleet, 0, 'orders/a', key=f'before{number}')
    control(fleet.layout.platform_port, away=True)
    refused = ask_service(fleet, 0, 'orders/a', key='order')
    assert refused.status == 503
    error = json.loads(refused.text)['error']
    assert (error['code'], error['ran']) == ('platform_away', 'no')
    assert int(refused.headers['retry-after'])
    assert 'order' not in count_calls(fleet)


def test_lost_answers_change_nothing() -> None:
    fleet = make_fleet()
    control(fleet.layout.platform_port, lose=6)
    keys = [f'lost{number}' for number in range(9)]
    for key in keys:
        router = int(key[-1]) % 3
        answer = ask_service(fleet, router, 'orders/a', key)
        assert answer.status == 200, answer.text
    assert count_bills(fleet, keys) == {1}


def test_a_slow_platform_is_only_slow() -> None:
    fleet = make_fleet()
    keys = [f'slow{number}' for number in range(6)]
    ask_chat(fleet, 0, 'hi stop=3')
    control(fleet.layout.platform_port, latency=0.6)
    for key in keys:
        router = int(key[-1]) % 3
        answer = ask_service(fleet, router, 'orders/a', key)
        assert answer.status == 200, answer.text
    control(fleet.layout.platform_port, latency=0)
    assert wait_until(lambda: count_bills(fleet, keys) == {1})
    assert set(count_calls(fleet).values()) == {1}


def test_top_up_with_lost_answers_counts_once() -> None:
    fleet = make_fleet()
    before = call_admin(fleet, '/admin/budgets')[0]['paid']
    control(fleet.layout.platform_port, lose=2)
    for _ in range(3):
        top_up(fleet, 'curitiba/main', 1000, 'twice')
    assert call_admin(fleet, '/admin/budgets')[0]['paid'] == before + 1000


def test_a_router_started_in_an_outage_learns_from_peers() -> None:
    fleet = make_fleet()
    platform = fleet.layout.platform_port
    # It reads the instance list, and then nothing more.
    fleet.running['router-2'].kill()
    fleet.running['router-2'].wait()
    fleet.start_router(fleet.layout.routers[2])
    control(platform, away=True)

    def knows() -> bool:
        try:
            return bool(ask_caller_api(fleet, 2, '/v1/models'))
        except OSError:
            return False

    # Peers know its address and send it gossip messages.
    assert wait_until(knows)
