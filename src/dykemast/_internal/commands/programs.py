"""Runs a program on an event loop that uses the boot-time clock."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from dykemast._internal.network.idle_pools import set_pool_clock
from dykemast._internal.utils.clock import open_loop


def run_main(main: Coroutine[Any, Any, None]) -> None:
    """Run a program; its timers use the clock of ``utils.clock``.

    :param main: main coroutine of the program.
    """
    set_pool_clock()
    with asyncio.Runner(loop_factory=open_loop) as runner:
        runner.run(main)
