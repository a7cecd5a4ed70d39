"""Load well past capacity, for a bounded time: before, during, after."""

import asyncio
import contextlib
from collections import Counter
from typing import Any, Final, NamedTuple

from tools.files import WORKSPACES
from tools.fleet import Fleet, control
from tools.layout import plan_layout
from tools.load import Load, run_load
from tools.percentiles import find_percentile
from tools.process_usage import read_memory

#: Words a second of the one engine: its 64 slots give about 80 answers a
#: second, of 32 words on the average.
ENGINE_RATE: Final = 40
_P95: Final = 95


class Phase(NamedTuple):
    """One part of the run.

    :param name: before, during or after.
    :param count: requests.
    :param rate: requests started a second.
    """

    name: str
    count: int
    rate: float


#: Three in four requests go to the engine.
PHASES: Final = (
    Phase('before', count=200, rate=40),
    Phase('during', count=2000, rate=250),
    Phase('after', count=200, rate=40),
)


def measure_overload() -> list[dict[str, Any]]:
    """Measure one router before, during and after an overload.

    :returns: a row for each phase.
    """
    fleet = Fleet(plan_layout(routers=1, engines=1))
    with contextlib.ExitStack() as stack:
        stack.callback(fleet.stop)
        fleet.start()
        control(fleet.layout.engines[0].port, rate=ENGINE_RATE)
        return [_run_phase(fleet, phase) for phase in PHASES]


def _run_phase(fleet: Fleet, phase: Phase) -> dict[str, Any]:
    load = Load(
        list(WORKSPACES), phase.count, phase.rate, attempts=1, name=phase.name
    )
    served = asyncio.run(run_load(fleet.layout, load))
    chats = [one for one in served if one.kind == 'chat']
    return {
        'figure': 'overload',
        'phase': phase.name,
        'asked': len(chats),
        **Counter(one.attempts[-1].code for one in chats),
        'first_p95_ms': find_percentile(
            [one.first for one in chats if one.is_answered()], _P95
        ),
        'refusal_p95_ms': find_percentile(
            [one.total for one in chats if not one.is_answered()], _P95
        ),
        'mb': round(read_memory(fleet.running['router-0'].pid), 1),
    }
