"""What is logged of loops that ended and run again."""

from dykemast._internal.utils.events import make_logger
from dykemast._internal.utils.supervision import LoopFailure

_log = make_logger('loops')


def tell_end(end: LoopFailure) -> None:
    """Log that a loop ended.

    :param end: how it ended.
    """
    _log(
        'loop_failed',
        loop=end.loop,
        reason=end.reason,
        calls=end.calls,
        pause_s=round(end.pause, 2),
    )
