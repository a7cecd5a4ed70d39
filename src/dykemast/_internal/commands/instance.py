"""Runs the router of one instance of the platform."""

import asyncio
import secrets
import signal
import sys
from typing import Any, Final

from dykemast._internal.commands.programs import run_main
from dykemast._internal.exceptions import InvalidFileError
from dykemast._internal.platform.settings import read_settings
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.process import loops, planned_stop, reload
from dykemast._internal.serving.process.runtime import open_runtime
from dykemast._internal.utils.events import LineHandler, make_logger, open_log

_log = make_logger('router')

#: Random bytes in an incarnation id.
INCARNATION_BYTES: Final = 8
#: Exit code for findings in the settings.
EXIT_CODE_FINDINGS: Final = 2


def run_instance() -> None:
    """Run a router with the settings of the platform until a stop signal."""
    try:
        settings = read_settings()
    except InvalidFileError as error:
        sys.stderr.write(f'dykemast: {error}\n')
        sys.exit(EXIT_CODE_FINDINGS)
    board = ServingBoard(settings, secrets.token_hex(INCARNATION_BYTES))
    lines = open_log(
        {
            'instance': settings.name,
            'incarnation': board.incarnation,
        }
    )
    with lines.applicationbound():
        try:
            run_main(_serve(board, lines))
        except OSError as error:
            # An address is in use: the previous process may still be running.
            sys.exit(f'dykemast: not started: {error}')
    lines.flush()


async def _serve(board: ServingBoard, lines: LineHandler) -> None:
    stop = _catch_signals(board)
    tasks = loops.start_first_loops(board, lines)
    runtime = await open_runtime(board)
    _log('started', hall=board.settings.hall)
    await stop.wait()
    await planned_stop.stop_router(runtime)
    for task in tasks:
        task.cancel()


def _catch_signals(board: ServingBoard) -> asyncio.Event:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload.reload_settings, board)
    loop.set_exception_handler(_log_unexpected)
    return stop


def _log_unexpected(_: object, context: dict[str, Any]) -> None:
    """Log an unhandled error of a task or callback."""
    error = context.get('exception')
    if not isinstance(error, asyncio.CancelledError):
        _log(
            'unexpected_error',
            message=context.get('message'),
            reason=f'{type(error).__name__}: {error}',
        )
