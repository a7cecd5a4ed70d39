"""Requests through routers and stand-ins in separate processes on loopback."""

import json

from tests.lib.caller import ask_chat, ask_service
from tests.lib.fixtures import find_bills, start_fleet
from tools.calls import call
from tools.layout import HOST


WORDS = ('w0 ', 'w1 ', 'w2 ', 'w3 ')


def read_word(event: str) -> str:
    piece = json.loads(event.removeprefix('data: '))
    return piece['choices'][0]['delta']['content']


def test_entry_names_own_hall_first() -> None:
    router = start_fleet().layout.routers[1]
    entry = call(f'http://{HOST}:{router.caller_port}/v1/entry')
    assert len(entry['addresses']) == 3
    assert entry['addresses'][0]['hall'] == router.hall
    assert entry['keep_seconds'] == 1


def test_stream_is_whole_and_billed_once() -> None:
    answer = ask_chat(start_fleet(), 0, 'hi stop=4', key='s1', stream=True)
    events = answer.text.strip().split('\n\n')
    assert events[-1] == 'data: [DONE]'
    usage = json.loads(events[-2].removeprefix('data: '))['usage']
    assert tuple(map(read_word, events[:-2])) == WORDS
    bills = find_bills(start_fleet(), 's1')
    assert [bill['tokens'] for bill in bills] == [usage['total_tokens']]


def test_retry_at_another_router_is_billed_once() -> None:
    first = ask_chat(start_fleet(), 0, 'hi stop=2', key='r1')
    second = ask_chat(start_fleet(), 1, 'hi stop=2', key='r1')
    assert first.headers['x-bill'] == 'ours'
    assert second.headers['x-bill'] == 'finished'
    assert len(find_bills(start_fleet(), 'r1')) == 1


def test_call_that_may_not_be_repeated_runs_once() -> None:
    fleet = start_fleet()
    first = ask_service(fleet, 0, 'orders/reserve?pallet=1', key='n1')
    second = ask_service(fleet, 2, 'orders/reserve?pallet=1', key='n1')
    assert json.loads(first.text)['query'] == 'pallet=1'
    assert second.headers['x-replayed'] == 'yes'
    assert second.text == first.text
    port = fleet.layout.plains[0].port
    counts = call(f'http://{HOST}:{port}/counts')
    assert counts['n1'] == 1
