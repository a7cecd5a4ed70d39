"""Routers that are killed, frozen, or stopped as planned."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor
from http import client as http_client

from tests.lib.caller import ask_chat, ask_service
from tests.lib.fixtures import (
    ask_caller_api,
    count_bills,
    count_calls,
    make_fleet,
    wait_until,
)
from tests.lib.streams import open_stream, read_rest
from tools.fleet import Fleet, call_admin
from tools.polling import HANG_GUARD


def count_leases(fleet: Fleet, instance: str, router: int = 1) -> int:
    budgets = call_admin(fleet, '/admin/budgets', None, router)
    holders = [
        lease['instance'] for budget in budgets for lease in budget['leases']
    ]
    return holders.count(instance)


def test_stream_of_a_killed_router_is_not_whole() -> None:
    fleet = make_fleet()
    _, response = open_stream(fleet, 0, 'hi stop=200', key='cut')
    response.read(60)
    fleet.running['router-0'].kill()
    assert b'[DONE]' not in read_rest(response)
    # The retry runs the request again, completes, and is billed once.
    answer = ask_chat(fleet, 1, 'hi stop=3', key='cut', stream=True)
    assert answer.text.endswith('data: [DONE]\n\n')
    assert count_bills(fleet, ['cut']) == {1}


def test_lease_of_a_killed_router_comes_back() -> None:
    fleet = make_fleet()
    ask_chat(fleet, 0, 'hi stop=3')
    fleet.running['router-0'].kill()
    # The instance restarts without state: its new incarnation confirms that
    # the old one is dead, and the lease is reclaimed.
    before = count_leases(fleet, 'router-0')
    fleet.start_router(fleet.layout.routers[0])
    assert before
    assert wait_until(lambda: not count_leases(fleet, 'router-0'))
    budgets = call_admin(fleet, '/admin/budgets', None, 1)
    assert any(budget['in_doubt'] for budget in budgets)


def test_frozen_router_does_no_harm() -> None:
    fleet = make_fleet()
    ask_service(fleet, 0, 'orders/a', key='before')
    frozen = fleet.running['router-0']
    frozen.send_signal(signal.SIGSTOP)
    for number in range(12):
        first = ask_service(fleet, 1, 'orders/a', key=f'f{number}')
        assert first.status == 200, first.text
    frozen.send_signal(signal.SIGCONT)
    # Other routers took over its keys; it must not run the requests again.
    retries = [
        ask_service(fleet, 0, 'orders/a', key=f'f{again}')
        for again in range(12)
    ]
    assert {retry.headers['x-replayed'] for retry in retries} == {'yes'}
    assert set(count_calls(fleet).values()) == {1}


def test_planned_stop_cuts_off_nothing() -> None:
    fleet = make_fleet()
    _, response = open_stream(fleet, 0, 'hi stop=250', key='last')
    response.read(60)
    stopping = fleet.running['router-0']
    stopping.send_signal(signal.SIGTERM)
    own = str(fleet.layout.routers[0].caller_port)

    def has_left() -> bool:
        return own not in str(ask_caller_api(fleet, 1, '/v1/entry'))

    assert wait_until(has_left, timeout_s=5)
    assert read_rest(response).endswith(b'data: [DONE]\n\n')
    assert stopping.wait(timeout=HANG_GUARD) == 0
    assert not count_leases(fleet, 'router-0')
    assert count_bills(fleet, ['last']) == {1}


def start_streams_until_gone(fleet: Fleet) -> list[bytes]:
    """Stop a router; open a stream of 1.5 s every 0.2 s until it exits."""
    stopping = fleet.running['router-0']
    stopping.send_signal(signal.SIGTERM)
    with ThreadPoolExecutor(64) as callers:
        asked = []
        while stopping.poll() is None:
            asked.append(callers.submit(try_stream, fleet, len(asked)))
            time.sleep(0.2)
    return [one.result() for one in asked]


def try_stream(fleet: Fleet, number: int) -> bytes:
    try:
        _, response = open_stream(fleet, 0, 'hi stop=300', key=f's{number}')
    except (OSError, http_client.HTTPException):
        return b''
    return read_rest(response)


def test_a_stopping_router_refuses_what_it_would_cut_off() -> None:
    # Callers with a cached entry response send to a router after its SIGTERM.
    # Fails if it admits streams that its drain timeout then truncates.
    fleet = make_fleet(routers=2, drain_timeout=4)
    texts = start_streams_until_gone(fleet)
    began = [text for text in texts if b'data:' in text]
    refused = [text for text in texts if b'"stopping"' in text]
    assert all(text.endswith(b'data: [DONE]\n\n') for text in began)
    assert began and refused
