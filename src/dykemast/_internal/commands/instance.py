"""Run the router of one instance of the users' platform."""

import asyncio
import secrets
import signal
import sys
from typing import Final

from dykemast._internal.exceptions import InvalidFileError
from dykemast._internal.platform.settings import read_settings
from dykemast._internal.serving.board import ServingBoard
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
    identity = {'instance': settings.name, 'incarnation': board.incarnation}
    handler = open_log(identity)
    with handler.applicationbound():
        asyncio.run(_serve(board, handler))
    handler.flush()


async def _serve(board: ServingBoard, handler: LineHandler) -> None:
    writing = asyncio.create_task(handler.write_lines())
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: _reload(board))
    runtime = await open_runtime(board)
    import time
    _log('started', hall=board.settings.hall, mono=time.monotonic(), boot=open('/proc/sys/kernel/random/boot_id').read(), up=open('/proc/uptime').read(),bt=time.clock_gettime(time.CLOCK_BOOTTIME))
    await stop.wait()
    await runtime.stop()
    writing.cancel()


def _reload(board: ServingBoard) -> None:
    try:
        settings = read_settings()
    except InvalidFileError as error:
        _log('settings_not_usable', reason=str(error))
        return
    changed = settings != board.settings
    board.settings = settings
    _log('settings_reloaded', changed=changed)
