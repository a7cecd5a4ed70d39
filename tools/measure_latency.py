"""What a router adds to streams, against the engine asked directly."""

import asyncio
import contextlib
import time
from typing import Any, Final

from tools.fleet import Fleet, control
from tools.layout import HOST, Member, plan_layout
from tools.process_usage import read_cpu
from tools.stream_times import Summary, time_streams

#: Streams at a time, in turn.
STREAMS: Final = (1, 20, 100)
#: Words a second of the engine in the latency run.
ENGINE_RATE: Final = 40
_CENTS: Final = 100


def measure_latency() -> list[dict[str, Any]]:
    """Measure what a router adds to streams, against the engine directly.

    :returns: a row for each number of streams.
    """
    fleet = Fleet(plan_layout(routers=1, engines=1))
    with contextlib.ExitStack() as stack:
        stack.callback(fleet.stop)
        fleet.start()
        engine = fleet.layout.engines[0]
        router = fleet.layout.routers[0]
        control(engine.port, rate=ENGINE_RATE)
        return [_compare(engine, router, streams, fleet) for streams in STREAMS]


def _compare(
    engine: Member,
    router: Member,
    streams: int,
    fleet: Fleet,
) -> dict[str, Any]:
    direct = _time(engine.port, streams)
    busy = read_cpu(fleet.running[router.name].pid)
    started = time.monotonic()
    routed = _time(router.caller_port, streams)
    busy = read_cpu(fleet.running[router.name].pid) - busy
    seconds = time.monotonic() - started
    return {
        'figure': 'latency',
        'streams': streams,
        'first_median_direct': direct.first_median,
        **_subtract(routed, direct),
        'router_cpu_percent': round(_CENTS * busy / seconds, 1),
    }


def _subtract(routed: Summary, direct: Summary) -> dict[str, float]:
    return {
        f'{name}_added': round(after - getattr(direct, name), 2)
        for name, after in routed._asdict().items()
    }


def _time(port: int, streams: int) -> Summary:
    return asyncio.run(time_streams(f'http://{HOST}:{port}', streams))
