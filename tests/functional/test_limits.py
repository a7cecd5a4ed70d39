"""Deadlines, and the call limit of the platform."""

import json
import time

from tests.lib.caller import ask_service
from tests.lib.fixtures import count_calls, make_fleet
from tools.fleet import control


def test_deadline_is_kept() -> None:
    fleet = make_fleet(routers=1)
    control(fleet.layout.plains[0].port, delay=20)
    started = time.monotonic()
    late = ask_service(fleet, 0, 'orders/a', key='late', x_deadline='1.5')
    assert late.status == 504
    assert json.loads(late.text)['error']['ran'] == 'unknown'
    assert time.monotonic() - started < 10
    retry = ask_service(fleet, 0, 'orders/a', key='late')
    assert json.loads(retry.text)['error']['code'] == 'may_have_run'


def test_call_limit_of_the_platform_is_survived() -> None:
    fleet = make_fleet(routers=1)
    control(fleet.layout.platform_port, limit=12)
    answers = [
        ask_service(fleet, 0, 'orders/a', key=f'limit{number}')
        for number in range(6)
    ]
    control(fleet.layout.platform_port, limit=0)
    codes = {answer.status for answer in answers}
    assert codes <= {200, 503}
    for refused in answers:
        if refused.status == 503:
            assert json.loads(refused.text)['error']['ran'] == 'no'
    answered = [answer for answer in answers if answer.status == 200]
    assert len(count_calls(fleet)) == len(answered)
