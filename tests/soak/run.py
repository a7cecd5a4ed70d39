"""One seed: play its plan, then look at the promises."""

import shutil
import time
from collections import Counter
from pathlib import Path
from typing import NamedTuple

from tests.lib.fixtures import wait_until
from tests.lib.users_caller import send
from tests.soak.callers import Callers
from tests.soak.plan import FAULT_TIME, make_plan
from tests.soak.promises import Witness, find_broken
from tests.soak.world import World

#: Seconds after the last fault has begun: those that last end, and stopped
#: routers are back.
SETTLE_TIME = 6.0
LOGS = Path('dist') / 'soak'


class Outcome(NamedTuple):
    """What came of a seed."""

    broken: list[str]
    summary: str


def run_seed(seed: int) -> Outcome:
    """Play a seed."""
    world = World()
    world.start()
    callers = Callers(world.deployment, seed)
    callers.start()
    _play(world, seed)
    callers.stop()
    broken = _judge(world, callers)
    if broken:
        _keep_logs(world, seed)
    world.stop()
    counts = Counter(one.status for one in callers.seen)
    return Outcome(broken, str(dict(counts)))


def _play(world: World, seed: int) -> None:
    started = time.monotonic()
    for fault in make_plan(seed):
        _sleep_until(started + fault.at)
        world.strike(fault)
    _sleep_until(started + FAULT_TIME + SETTLE_TIME)


def _sleep_until(moment: float) -> None:
    time.sleep(max(0, moment - time.monotonic()))


def _judge(world: World, callers: Callers) -> list[str]:
    broken = list(find_broken(_make_witness(world, callers)))
    if not wait_until(lambda: _serves(world)):
        broken.append('no router serves after all faults have ended')
    return broken


def _make_witness(world: World, callers: Callers) -> Witness:
    return Witness(
        callers.seen, world.read_runs(), world.most_prepaid, world.left_at
    )


def _serves(world: World) -> bool:
    replies = set()
    for router in world.deployment.names:
        try:
            replies.add(send(world.deployment, '/price/1', router).status)
        except OSError:
            return False
    return replies == {200}


def _keep_logs(world: World, seed: int) -> None:
    folder = LOGS / str(seed)
    folder.mkdir(parents=True, exist_ok=True)
    for log in world.deployment.processes.folder.glob('*.log'):
        shutil.copy(log, folder)
