"""Runs one router until a stop signal."""

import asyncio
import random
import secrets
import signal
import sys
from typing import Final

import logbook

from dykemast._internal.blackboard import Blackboard
from dykemast._internal.commands.programs import run_main
from dykemast._internal.controllers.runtime import open_runtime
from dykemast._internal.models.settings import DEFAULT_SETTINGS, RouterSettings
from dykemast._internal.utils.yaml_files import read_yaml

_log = logbook.Logger('router')

#: Random bytes in an incarnation id.
INCARNATION_BYTES: Final = 8


def run_router(path: str) -> None:
    """Run a router.

    :param path: path of its settings file.
    :raises InvalidFileError: when the file has findings.
    """
    given: RouterSettings = read_yaml(path, RouterSettings)
    settings = RouterSettings(**{**DEFAULT_SETTINGS, **given})
    log_output = logbook.StreamHandler(
        sys.stderr,
        level=settings['log_level'],
        format_string='{record.time:%H:%M:%S.%f} {record.level_name} '
        '{record.message}',
    )
    with log_output.applicationbound():
        run_main(_serve(settings))


async def _serve(settings: RouterSettings) -> None:
    board = Blackboard(settings, secrets.token_hex(INCARNATION_BYTES))
    stop = asyncio.Event()
    hasten = asyncio.Event()
    _watch_signals(stop, hasten)
    runtime = await open_runtime(board, random.Random())
    _log.info('router: {} serves callers.', settings['instance'])
    await stop.wait()
    await runtime.stop(hasten)
    _log.info('router: {} has stopped.', settings['instance'])


def _watch_signals(stop: asyncio.Event, hasten: asyncio.Event) -> None:
    def on_signal() -> None:
        # The first signal starts a planned stop, the second shortens it.
        if stop.is_set():
            hasten.set()
        stop.set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
