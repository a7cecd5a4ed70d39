"""Wait for something by looking at it again and again."""

import time
from collections.abc import Callable
from typing import Final

#: Seconds between two looks.
POLL: Final = 0.1
#: Seconds after which a call on loopback counts as hung: no promise, but a
#: guard against a test that never ends. A busy machine may take minutes.
HANG_GUARD: Final = 600.0


def poll_until(is_done: Callable[[], bool], patience: float) -> bool:
    """Look until something is true.

    Patience is counted in looks, not on a clock: on a busy machine each
    look takes as much longer as the work that is waited for.

    :param is_done: looks.
    :param patience: seconds to wait on an idle machine.
    :returns: whether it became true.
    """
    for _ in range(round(patience / POLL)):
        if is_done():
            return True
        time.sleep(POLL)
    return False
