"""Reload of the settings file when it changes."""

import asyncio
from typing import Final

from dykemast._internal.exceptions import InvalidFileError
from dykemast._internal.platform.settings import read_change_time, read_settings
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.events import make_logger

_log = make_logger('settings')

#: The file is polled, since it may change without a signal.
POLL_INTERVAL_S: Final = 2.0


def reload_settings(board: ServingBoard) -> None:
    """Reload the settings; the previous ones stay if the file is invalid.

    The name and the listen addresses are fixed at the start.

    :param board: the blackboard.
    """
    try:
        settings = read_settings()
    except InvalidFileError as error:
        _log('settings_not_usable', reason=str(error))
        return
    changed = settings != board.settings
    board.settings = settings._replace(
        name=board.settings.name, listeners=board.settings.listeners
    )
    _log('settings_reloaded', changed=changed)


async def follow_settings(board: ServingBoard) -> None:
    """Reload the settings whenever the file changes, for ever.

    :param board: the blackboard.
    """
    known = read_change_time()
    while True:
        await asyncio.sleep(POLL_INTERVAL_S)
        latest = read_change_time()
        if latest != known:
            known = latest
            reload_settings(board)
