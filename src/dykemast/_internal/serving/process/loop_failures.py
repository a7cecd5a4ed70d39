"""Log lines on background loops that failed and are restarted."""

from dykemast._internal.utils.events import make_logger
from dykemast._internal.utils.supervision import LoopFailure

_log = make_logger('loops')


def log_loop_failure(failure: LoopFailure) -> None:
    """Log the failure of a background loop.

    :param failure: the failure.
    """
    _log(
        'loop_failed',
        loop=failure.loop,
        reason=failure.reason,
        calls=failure.calls,
        pause_s=round(failure.pause, 2),
    )
