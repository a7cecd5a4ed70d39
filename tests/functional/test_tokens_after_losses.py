"""Usable tokens of a budget after repeated losses of all routers."""

import itertools

from tests.functional.test_deployment_faults import (
    count_streamed,
    stream_until_refused,
)
from tests.lib.deployment import Deployment
from tests.lib.users_caller import stream

PREPAID = 150_000
#: Share of the paid tokens that losses of routers may cost callers in total.
MAX_LOST_SHARE = 0.2
LOSSES = 4
#: Streams of a workspace with low load between two losses, over all routers.
STREAMS = 12


def lose_all(deployment: Deployment) -> None:
    for name in deployment.names:
        deployment.processes.kill(name)
    for name in deployment.names:
        deployment.start_router(name)
    for name in deployment.names:
        deployment.wait_ready(name)


def ask_in_turn(deployment: Deployment) -> None:
    routers = itertools.cycle(deployment.names)
    for router in itertools.islice(routers, STREAMS):
        stream(deployment, tokens='1000,20', router=router)


def test_callers_get_what_losses_of_all_routers_may_not_cost() -> None:
    deployment = Deployment(routers=6).start(prepaid=PREPAID)
    for _ in range(LOSSES):
        ask_in_turn(deployment)
        lose_all(deployment)
    for router in deployment.names:
        stream_until_refused(deployment, router)
    left = PREPAID - count_streamed(deployment)
    ledger = deployment.read_ledger('joinville')
    deployment.stop()
    assert left <= MAX_LOST_SHARE * PREPAID, (left, ledger)
