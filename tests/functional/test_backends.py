"""Leaving servers, wrong or truncated responses, callers that disconnect."""

import json

from tests.lib.caller import ask_chat
from tests.lib.fixtures import (
    find_bills,
    make_fleet,
    wait_until,
)
from tests.lib.streams import BROKEN, open_stream, read_rest
from tools.calls import call
from tools.fleet import Fleet, control
from tools.layout import HOST, Member, list_instances


def count_runs(engine: Member) -> int:
    counts = call(f'http://{HOST}:{engine.port}/counts')
    return sum(count['runs'] for count in counts.values())


def set_engines(fleet: Fleet, **faults) -> None:
    for engine in fleet.layout.engines:
        control(engine.port, **faults)


def test_leaving_worker_gets_no_new_work() -> None:
    fleet = make_fleet(routers=2)
    leaving = fleet.layout.engines[0]
    listed = list_instances(fleet.layout)
    for line in listed:
        if line[0] == leaving.name:
            line[-1] = 'leaving'
    control(fleet.layout.platform_port, instances=listed)

    def is_known() -> bool:
        before = count_runs(leaving)
        for number in range(12):
            ask_chat(fleet, number % 2, f'p{number} stop=1')
        return count_runs(leaving) == before

    assert wait_until(is_known, timeout_s=3)
    assert is_known()


def test_answer_to_another_request_is_not_passed_on() -> None:
    fleet = make_fleet(routers=1)
    set_engines(fleet, swap_ids=True)
    answer = ask_chat(fleet, 0, 'hi stop=3', key='swap')
    assert answer.status == 502
    assert json.loads(answer.text)['error']['ran'] == 'unknown'
    assert 'choices' not in answer.text


def test_broken_stream_is_not_ended_as_whole() -> None:
    fleet = make_fleet(routers=1)
    set_engines(fleet, cut_after=5)
    _, response = open_stream(fleet, 0, 'hi stop=50', key='broken')
    text = read_rest(response)
    assert b'w4' in text
    assert b'[DONE]' not in text
    assert text.endswith(BROKEN)
    assert wait_until(lambda: bool(find_bills(fleet, 'broken', 0)))
    assert find_bills(fleet, 'broken', 0)[0]['outcome'] == 'cut'


def test_caller_who_goes_away_is_billed_and_cancelled() -> None:
    fleet = make_fleet(routers=1)
    connection, response = open_stream(fleet, 0, 'hi stop=250', key='gone')
    response.read(60)
    connection.sock.close()
    response.close()
    connection.close()
    assert wait_until(lambda: bool(find_bills(fleet, 'gone', 0)))
    name = find_bills(fleet, 'gone', 0)[0]['run']

    def read_output() -> int:
        runs = {}
        for engine in fleet.layout.engines:
            runs.update(call(f'http://{HOST}:{engine.port}/counts'))
        return runs[name]['output']

    assert wait_until(lambda: read_output() == read_output(), timeout_s=5)
    assert read_output() < 250
