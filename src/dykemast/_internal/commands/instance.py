"""Run the router of one instance of the users' platform."""

import asyncio
import secrets
import signal
import sys
from typing import Final

from dykemast._internal.exceptions import InvalidFileError
from dykemast._internal.platform.settings import read_settings
from dykemast._internal.serving.board import ServingBoard
from dykemast._internal.serving.reload import follow_settings, reload_settings
from dykemast._internal.serving.runtime import open_runtime
from dykemast._internal.utils.events import LineHandler, make_logger, open_log

_log = make_logger('router')

#: Bytes of randomness in an incarnation.
INCARNATION_BYTES: Final = 8
#: Exit code for findings in the settings.
FINDINGS: Final = 2


def run_instance() -> None:
    """Run a router with the settings of the platform until SIGTERM."""
    try:
        settings = read_settings()
    except InvalidFileError as error:
        sys.stderr.write(f'dykemast: {error}\n')
        sys.exit(FINDINGS)
    board = ServingBoard(settings, secrets.token_hex(INCARNATION_BYTES))
    lines = open_log(
        {
            'instance': settings.name,
            'incarnation': board.incarnation,
        }
    )
    with lines.applicationbound():
        asyncio.run(_serve(board, lines))
    lines.flush()


async def _serve(board: ServingBoard, lines: LineHandler) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload_settings, board)
    tasks = [
        asyncio.create_task(lines.write_lines()),
        asyncio.create_task(follow_settings(board)),
    ]
    runtime = await open_runtime(board)
    _log('started', hall=board.settings.hall)
    await stop.wait()
    await runtime.stop()
    for task in tasks:
        task.cancel()
