"""Calls of the platform by a fleet, under load and idle."""

import asyncio
import contextlib
import time
from typing import Any, Final

from tools.files import WORKSPACES
from tools.fleet import Fleet, control
from tools.layout import plan_layout
from tools.load import Load, run_load
from tools.process_usage import read_cpu, read_memory

_CENTS: Final = 100
#: Seconds of calm before the idle fleet is looked at, and of the look.
CALM: Final = 5
LOOK: Final = 10
#: Requests and requests a second of the run that counts platform calls.
LOAD_COUNT: Final = 1200
LOAD_RATE: Final = 80
#: Sizes of the idle fleets.
FLEETS: Final = (4, 16, 32)


def measure_platform() -> list[dict[str, Any]]:
    """Measure calls of the platform by eight routers at full load, and idle.

    :returns: a row under load and one idle.
    """
    fleet = Fleet(plan_layout(routers=8, engines=4))
    with contextlib.ExitStack() as stack:
        stack.callback(fleet.stop)
        fleet.start()
        loaded = _count_calls(fleet, 'load', _run_load)
        time.sleep(CALM)
        idle = _count_calls(fleet, 'idle', lambda _: time.sleep(LOOK))
    return [loaded, idle]


def measure_fleets() -> list[dict[str, Any]]:
    """Measure idle fleets of several sizes, for the slope per router.

    :returns: a row for each size.
    """
    return [_measure_idle(routers) for routers in FLEETS]


def _measure_idle(routers: int) -> dict[str, Any]:
    fleet = Fleet(plan_layout(routers=routers, engines=2))
    with contextlib.ExitStack() as stack:
        stack.callback(fleet.stop)
        fleet.start()
        time.sleep(CALM)
        return _count_calls(fleet, 'idle', lambda _: time.sleep(LOOK))


def _run_load(fleet: Fleet) -> None:
    load = Load(list(WORKSPACES), LOAD_COUNT, LOAD_RATE)
    asyncio.run(run_load(fleet.layout, load))


def _count_calls(fleet: Fleet, state: str, run: Any) -> dict[str, Any]:
    pids = [fleet.running[one.name].pid for one in fleet.layout.routers]
    before = control(fleet.layout.platform_port)['counts']
    busy = sum(map(read_cpu, pids))
    started = time.monotonic()
    run(fleet)
    seconds = time.monotonic() - started
    busy = _CENTS * (sum(map(read_cpu, pids)) - busy) / seconds
    return {
        'figure': 'platform',
        'state': state,
        'routers': len(pids),
        **_find_rates(fleet, before, seconds),
        'cpu_percent_per_router': round(busy / len(pids), 2),
        'mb_per_router': round(sum(map(read_memory, pids)) / len(pids), 1),
    }


def _find_rates(
    fleet: Fleet,
    before: dict[str, int],
    seconds: float,
) -> dict[str, float]:
    after = control(fleet.layout.platform_port)['counts']
    return {
        f'{kind}_per_s': round((count - before[kind]) / seconds, 1)
        for kind, count in after.items()
    }
