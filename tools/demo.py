"""Start a small fleet, load it, kill a router midway, and check promises."""

import asyncio
import contextlib
import sys
import time
from typing import Final

from tools.files import WORKSPACES
from tools.fleet import Fleet, control
from tools.layout import list_instances, plan_layout
from tools.callers import Served
from tools.load import Load, run_load
from tools.tables import show_requests, show_truth
from tools.verdict import find_breaches, read_truth

#: Requests of the load.
COUNT: Final = 400
#: Requests started a second.
RATE: Final = 40.0
#: Seconds after which a router is killed.
KILL_AFTER: Final = 4.0
#: Seconds for the killed router's leases to come back.
RECOVERY: Final = 12.0


async def load_and_kill(fleet: Fleet) -> list[Served]:
    """Load a fleet and kill its first router midway.

    :param fleet: the fleet.
    :returns: what became of the requests.
    """
    load = asyncio.create_task(
        run_load(fleet.layout, Load(list(WORKSPACES), COUNT, RATE))
    )
    await asyncio.sleep(KILL_AFTER)
    killed = fleet.layout.routers[0]
    fleet.running[killed.name].kill()
    listed = list_instances(fleet.layout)[1:]
    control(fleet.layout.platform_port, instances=listed)
    sys.stdout.write(f'{killed.name} was killed after {KILL_AFTER} s.\n')
    return await load


def main() -> None:
    """Run the program."""
    fleet = Fleet(plan_layout(routers=3, engines=2))
    with contextlib.ExitStack() as stack:
        stack.callback(fleet.stop)
        fleet.start()
        all_served = asyncio.run(load_and_kill(fleet))
        time.sleep(RECOVERY)
        truth = read_truth(fleet, router=1)
    show_requests(all_served)
    show_truth(truth)
    _conclude(all_served, find_breaches(all_served, truth))


def _conclude(all_served: list[Served], breaches: list[str]) -> None:
    lost = [served for served in all_served if not served.is_answered()]
    for served in lost:
        # A call that may not be repeated and was cut off is never sent
        # again; its caller is told that it may have run.
        if served.attempts[-1].code not in {'may_have_run', 'already_ran'}:
            breaches.append(f'{served.key} was never answered')
    for breach in breaches:
        sys.stdout.write(f'BREACH: {breach}.\n')
    word = 'did not hold' if breaches else 'held'
    sys.stdout.write(f'verdict: the promises {word}.\n')
    sys.exit(bool(breaches))


if __name__ == '__main__':
    main()
