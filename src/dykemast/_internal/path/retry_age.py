"""Whether a retry comes too late for the journal to know its key.

The journal forgets keys after the retry window. A caller that may retry for
longer says when it first sent a request: by a time-ordered key (UUID version
7) or by the header ``X-First-Sent`` in seconds since 1970.
"""

import contextlib
import uuid
from typing import Final

from starlette.datastructures import Headers

_TIME_ORDERED: Final = 7
#: Bits of such a key below its time, and its units a second.
_RANDOM_BITS: Final = 80
_MILLISECONDS: Final = 1000


def is_too_old(headers: Headers, key: str, oldest: float) -> bool:
    """Tell whether a request may be a retry of a forgotten one.

    :param headers: of the request.
    :param key: its idempotency key.
    :param oldest: seconds since 1970 from which on keys are known.
    :returns: whether it was first sent before that; not when unknown.
    """
    sent = find_first_sent(headers, key)
    return sent is not None and sent < oldest


def find_first_sent(headers: Headers, key: str) -> float | None:
    """Find when a request was first sent.

    :param headers: of the request.
    :param key: its idempotency key.
    :returns: seconds since 1970, or nothing when it does not say.
    """
    with contextlib.suppress(ValueError):
        return float(headers.get('x-first-sent', ''))
    with contextlib.suppress(ValueError):
        known = uuid.UUID(key)
        if known.version == _TIME_ORDERED:
            return (known.int >> _RANDOM_BITS) / _MILLISECONDS
    return None
