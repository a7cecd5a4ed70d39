"""Evacuated halls: no new request reaches their backend servers."""

import functools
import time

from tests.lib.deployment import Deployment
from tests.lib.fixtures import wait_until
from tests.lib.users_caller import Reply, begin_stream, send, stream
from tests.lib.users_objects import HALL, make_evacuation
from tests.lib.users_settings import EVACUATE_MS

OTHER_HALL = 'curitiba'
#: Time until an evacuation is in force.
EVACUATION_S = EVACUATE_MS / 1000
#: Longest duration of an immediate refusal.
IMMEDIATE_REFUSAL_S = 0.5


@functools.cache
def start_two_halls() -> Deployment:
    deployment = Deployment(routers=2)
    deployment.halls = {'engine-1': OTHER_HALL}
    return deployment.start(prepaid=10_000_000)


def evacuate(deployment: Deployment, *halls: str) -> None:
    put = [make_evacuation(hall) for hall in halls]
    deployment.control('store', put=put)


def take_back(deployment: Deployment, *halls: str) -> None:
    remove = [['evacuations', hall] for hall in halls]
    deployment.control('store', remove=remove)


def count_arrivals(deployment: Deployment, server: str) -> int:
    return len(deployment.control(server)['arrivals'])


def ask_all(deployment: Deployment, count: int) -> list[Reply]:
    # Each prompt is new, so that no engine is preferred for its cache.
    return [
        stream(deployment, prompt=f'a{number}:100', router=router)
        for number in range(count)
        for router in deployment.names
    ]


def test_nothing_new_reaches_a_hall_that_is_emptied() -> None:
    deployment = start_two_halls()
    connection, _ = begin_stream(deployment)
    evacuate(deployment, OTHER_HALL)
    time.sleep(EVACUATION_S)
    before = count_arrivals(deployment, 'engine-1')
    replies = ask_all(deployment, 10)
    assert {reply.status for reply in replies} == {200}
    assert count_arrivals(deployment, 'engine-1') == before
    # A truncated stream is not resumed in an evacuated hall.
    deployment.control('engine-0', fault='cut')
    assert not stream(deployment).whole
    deployment.control('engine-0', fault='')
    assert count_arrivals(deployment, 'engine-1') == before
    take_back(deployment, OTHER_HALL)

    def is_used_again() -> bool:
        ask_all(deployment, 2)
        return count_arrivals(deployment, 'engine-1') > before

    assert wait_until(is_used_again)
    # Requests that already run there complete.
    assert connection.getresponse().read().count(b'data:') == 20


def test_a_service_without_another_hall_is_refused_at_once() -> None:
    deployment = start_two_halls()
    evacuate(deployment, HALL, OTHER_HALL)
    time.sleep(EVACUATION_S)
    before = count_arrivals(deployment, 'plain-0')
    for router in deployment.names:
        asked_at = time.monotonic()
        reply = send(deployment, '/order/1', router)
        assert reply.status == 503
        assert float(reply.headers['retry-after']) > 0
        assert time.monotonic() - asked_at < IMMEDIATE_REFUSAL_S
        assert stream(deployment, router=router).status == 503
    assert count_arrivals(deployment, 'plain-0') == before
    take_back(deployment, HALL, OTHER_HALL)
    assert wait_until(lambda: send(deployment, '/order/1').status == 200)


def test_a_router_that_starts_knows_which_halls_are_emptied() -> None:
    deployment = Deployment(routers=1)
    deployment.halls = {'engine-1': OTHER_HALL}
    deployment.stored_first = [make_evacuation(OTHER_HALL)]
    deployment.start(prepaid=10_000_000)
    assert {reply.status for reply in ask_all(deployment, 10)} == {200}
    assert not count_arrivals(deployment, 'engine-1')
    deployment.stop()


def test_foreign_entries_of_that_kind_cost_nobody_anything() -> None:
    deployment = start_two_halls()
    foreign = [
        ['evacuations', 'no-such-hall', 'text'],
        ['evacuations', 'x' * 300, {'zone': [HALL]}],
        ['evacuations', 'JOINVILLE', None],
    ]
    deployment.control('store', put=foreign)
    time.sleep(EVACUATION_S)
    assert send(deployment, '/order/1').status == 200
    assert {reply.status for reply in ask_all(deployment, 2)} == {200}
    take_back(deployment, *(name for _, name, _ in foreign))


def test_an_evacuation_asked_for_while_the_store_was_away_is_obeyed() -> None:
    deployment = start_two_halls()
    deployment.control('store', away=True)
    time.sleep(1)
    # The write is applied, and confirmed when the store is available again.
    evacuate(deployment, OTHER_HALL)
    deployment.control('store', away=False)
    time.sleep(EVACUATION_S)
    before = count_arrivals(deployment, 'engine-1')
    assert {reply.status for reply in ask_all(deployment, 5)} == {200}
    assert count_arrivals(deployment, 'engine-1') == before
    take_back(deployment, OTHER_HALL)
