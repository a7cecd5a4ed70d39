"""Runs a program on an event loop that uses the boot-time clock."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from aiohttp import connector

from dykemast._internal.utils.clock import open_loop, read_clock


def run_main(main: Coroutine[Any, Any, None]) -> None:
    """Run a program; its timers use the clock of ``utils.clock``.

    :param main: main coroutine of the program.
    """
    # Connection pools measure idle time by the library's clock, which stops
    # while the machine is suspended. They would then reuse connections that
    # servers have closed, and it is unknown whether a request sent over one of
    # them has run.
    connector.monotonic = read_clock
    with asyncio.Runner(loop_factory=open_loop) as runner:
        runner.run(main)
